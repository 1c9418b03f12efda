package org.clementinesail.core.rules;

/**
 * One faulty line of a rule file.
 *
 * @param line one-based line number
 * @param problem what was wrong, what is allowed, and the nearest correct word if there is one
 */
public record RuleFault(int line, String problem) {

  /**
   * Returns the fault in the form {@code file:line: problem}.
   *
   * @param file name of the rule file
   */
  public String describe(String file) {
    return file + ":" + line + ": " + problem;
  }
}
