package org.clementinesail.core.rules;

import java.util.List;

/** The outcome of parsing a rule file: either a whole rule set or every faulty line. */
public sealed interface RuleParseResult {

  /**
   * The file is valid.
   *
   * @param rules the parsed rules
   */
  record Valid(RuleSet rules) implements RuleParseResult {}

  /**
   * The file is refused whole.
   *
   * @param faults every faulty line in the order of the file; never empty
   */
  record Invalid(List<RuleFault> faults) implements RuleParseResult {}
}
