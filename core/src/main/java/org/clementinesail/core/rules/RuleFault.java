package org.clementinesail.core.rules;

/**
 * A fault in one line of a rule file.
 *
 * @param line one-based line number
 * @param problem what is wrong and what is allowed, with a spelling suggestion if there is one
 */
public record RuleFault(int line, String problem) {

  /**
   * Returns the fault in the form {@code file:line: problem}.
   *
   * @param file name of the rule file, as shown to the user
   */
  public String describe(String file) {
    return file + ":" + line + ": " + problem;
  }
}
