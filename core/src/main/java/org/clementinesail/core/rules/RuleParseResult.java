package org.clementinesail.core.rules;

import java.util.List;

/** The result of parsing a rule file: either a complete rule set or all faults. */
public sealed interface RuleParseResult {

  /**
   * The file is valid.
   *
   * @param rules all rules of the file
   */
  record Valid(RuleSet rules) implements RuleParseResult {}

  /**
   * The file has faults, so none of its rules applies.
   *
   * @param faults all faults in the order of the file; never empty
   */
  record Invalid(List<RuleFault> faults) implements RuleParseResult {}
}
