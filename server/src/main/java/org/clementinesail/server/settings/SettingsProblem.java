package org.clementinesail.server.settings;

/**
 * One error in a settings file.
 *
 * @param line line number, counted from 1; 0 for an error of the whole file
 * @param problem what is wrong and what is allowed
 */
public record SettingsProblem(int line, String problem) {

  /**
   * Returns the problem as {@code file:line: problem}, or {@code file: problem} for the whole file.
   *
   * @param file name of the settings file, as the user gave it
   */
  public String describe(String file) {
    return line == 0 ? file + ": " + problem : file + ":" + line + ": " + problem;
  }
}
