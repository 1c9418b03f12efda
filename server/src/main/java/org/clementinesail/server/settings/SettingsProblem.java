package org.clementinesail.server.settings;

/**
 * One thing wrong with a settings file.
 *
 * @param line one-based line number; 0 where the whole file is meant
 * @param problem what was wrong and what is allowed
 */
public record SettingsProblem(int line, String problem) {

  /**
   * Returns the problem in the form {@code file:line: problem}.
   *
   * @param file name of the settings file
   */
  public String describe(String file) {
    return line == 0 ? file + ": " + problem : file + ":" + line + ": " + problem;
  }
}
