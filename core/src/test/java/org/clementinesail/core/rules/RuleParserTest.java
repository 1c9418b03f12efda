package org.clementinesail.core.rules;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinesail.core.rules.Rule.DestinationKind;
import org.clementinesail.core.rules.Rule.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the grammar of rule files and the error messages of the parser. */
public final class RuleParserTest {
  private static final String NUMBER_LINE = "number 3  # Gwen: x\n";

  private static RuleSet parse(String text) {
    return ((RuleParseResult.Valid) RuleParser.parse(text)).rules();
  }

  /** Invalid files. */
  public static final class FaultsTest {
    /** Text of the file, number of the faulty line, expected message. */
    @DataProvider
    public Object[][] faults() {
      return new Object[][] {
        {"", 1, "the file has no number; begin it with a line such as 'number 12  # who: why'"},
        {"number 0 # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {"number x # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {"number # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {NUMBER_LINE + "number 4 # a", 2, "a second 'number' line; the first is line 1"},
        {"number 3", 1, "the rule has no comment; end the line with '# who asked: why'"},
        {
          NUMBER_LINE + "drain target=e1",
          2,
          "the rule has no comment; end the line with '# who asked: why'"
        },
        {
          NUMBER_LINE + "drain target=e1 #",
          2,
          "the rule has no comment; end the line with '# who asked: why'"
        },
        {
          NUMBER_LINE + "rout workspace=a model=m # a",
          2,
          "unknown rule 'rout', allowed are call, drain, limit, number, route, want;"
              + " did you mean 'route'?"
        },
        {
          NUMBER_LINE + "frobnicate # a",
          2,
          "unknown rule 'frobnicate', allowed are call, drain, limit, number, route, want"
        },
        {
          NUMBER_LINE + "route workspace=a modle=m # a",
          2,
          "unknown key 'modle' for 'route', allowed are class, model, prefer, service, workspace;"
              + " did you mean 'model'?"
        },
        {NUMBER_LINE + "route model=m # a", 2, "'route' needs workspace="},
        {
          NUMBER_LINE + "route workspace=a # a",
          2,
          "'route' takes exactly one of model= and service="
        },
        {
          NUMBER_LINE + "route workspace=a model=m service=s # a",
          2,
          "'route' takes exactly one of model= and service="
        },
        {
          NUMBER_LINE + "route workspace=a model=m class=interactiv # a",
          2,
          "class 'interactiv' is not one of batch, interactive, normal;"
              + " did you mean 'interactive'?"
        },
        {NUMBER_LINE + "route workspace=a model # a", 2, "'model' is not of the form key=value"},
        {NUMBER_LINE + "route workspace=a model= # a", 2, "'model=' is not of the form key=value"},
        {
          NUMBER_LINE + "route workspace=a workspace=b model=m # a",
          2,
          "key 'workspace' is given twice"
        },
        {
          NUMBER_LINE + "route workspace=a model=m # a\nroute workspace=a model=m # b",
          3,
          "'route workspace=a to MODEL m' is already defined in line 2"
        },
        {NUMBER_LINE + "limit workspace=a concurrent=1 # a", 2, "'limit' needs rate="},
        {
          NUMBER_LINE + "limit workspace=a rate=-1 concurrent=1 # a",
          2,
          "rate '-1' must be a positive number a second, such as 20/s"
        },
        {
          NUMBER_LINE + "limit workspace=a rate=5/m concurrent=1 # a",
          2,
          "rate '5/m' must be a positive number a second, such as 20/s"
        },
        {
          NUMBER_LINE + "limit workspace=a rate=5 concurrent=0 # a",
          2,
          "concurrent '0' must be a whole number from 1 to 1000000"
        },
        {
          NUMBER_LINE + "limit workspace=a rate=5 concurrent=1.5 # a",
          2,
          "concurrent '1.5' must be a whole number from 1 to 1000000"
        },
        {
          NUMBER_LINE + "call service=s path=orders repeat=never # a",
          2,
          "path 'orders' must start with '/'"
        },
        {
          NUMBER_LINE + "call service=s path=/o repeat=nevr # a",
          2,
          "repeat 'nevr' is not one of never, safe; did you mean 'never'?"
        },
        {
          NUMBER_LINE + "call service=s path=/o repeat=never method=PSOT # a",
          2,
          "method 'PSOT' is not one of *, DELETE, GET, HEAD, PATCH, POST, PUT; did you mean"
              + " 'POST'?"
        },
        {
          NUMBER_LINE + "drain target=e1 # a\ndrain target=e1 # b",
          3,
          "'drain target=e1' is already defined in line 2"
        },
        {
          NUMBER_LINE + "want model=m replicas=none # a",
          2,
          "replicas 'none' must be a whole number from 1 to 1000000"
        },
        {
          NUMBER_LINE + "drain target=" + "e".repeat(1_000) + " # a",
          2,
          "the line has more than 1000 characters"
        },
      };
    }

    /**
     * The first fault has the expected line and message, which states the value and what is
     * allowed.
     */
    @Test(dataProvider = "faults")
    public void reportsExactMessage(String text, int line, String message) {
      RuleParseResult.Invalid invalid = (RuleParseResult.Invalid) RuleParser.parse(text);
      assertEquals(invalid.faults().get(0), new RuleFault(line, message));
    }

    /** All faulty lines are reported, not only the first. */
    @Test
    public void reportsEveryFaultyLine() {
      RuleParseResult.Invalid invalid =
          (RuleParseResult.Invalid) RuleParser.parse("number 1\nrout x\nlimit workspace=a # b\n");
      assertEquals(invalid.faults().stream().map(RuleFault::line).distinct().toList().size(), 3);
    }
  }

  /** Lookups in valid files. */
  public static final class LookupTest {
    /** A rule for the workspace overrides a rule for every workspace. */
    @Test
    public void workspaceRuleOverridesWildcard() {
      RuleSet rules =
          parse(
              NUMBER_LINE
                  + "route workspace=* model=m class=batch # a\n"
                  + "route workspace=w model=m class=interactive # b\n");
      assertEquals(
          rules.route("w", DestinationKind.MODEL, "m").orElseThrow().priority(),
          Priority.INTERACTIVE);
      assertEquals(
          rules.route("v", DestinationKind.MODEL, "m").orElseThrow().priority(), Priority.BATCH);
      assertTrue(rules.route("v", DestinationKind.SERVICE, "m").isEmpty());
    }

    /** The longest matching path decides; a call that no rule matches may not be repeated. */
    @Test
    public void longestPathDecidesOnRepetition() {
      RuleSet rules =
          parse(
              NUMBER_LINE
                  + "call service=s path=/ repeat=safe # a\n"
                  + "call service=s path=/orders repeat=never # b\n");
      assertTrue(rules.repeatable("s", "GET", "/stock"));
      assertFalse(rules.repeatable("s", "POST", "/orders/7"));
      assertTrue(rules.repeatable("s", "POST", "/ordersheet"));
      assertFalse(rules.repeatable("other", "GET", "/stock"));
    }
  }
}
