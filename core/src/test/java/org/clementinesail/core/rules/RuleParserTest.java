package org.clementinesail.core.rules;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinesail.core.rules.Rule.DestinationKind;
import org.clementinesail.core.rules.Rule.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The grammar of rule files and its messages. */
public final class RuleParserTest {
  private static final String NUMBER = "number 3  # Gwen: x\n";

  private static RuleSet parse(String text) {
    return ((RuleParseResult.Valid) RuleParser.parse(text)).rules();
  }

  /** Files that are refused, each with its exact message. */
  public static final class FaultsTest {
    /** Text of the file, faulty line, message. */
    @DataProvider
    public Object[][] faults() {
      return new Object[][] {
        {"", 1, "the file has no number; begin it with a line such as 'number 12  # who: why'"},
        {"number 0 # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {"number x # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {"number # a", 1, "'number' takes one whole number from 1 to 999999999999999999"},
        {NUMBER + "number 4 # a", 2, "a second 'number' line; the first is line 1"},
        {"number 3", 1, "the rule has no comment; end the line with '# who asked: why'"},
        {
          NUMBER + "drain target=e1",
          2,
          "the rule has no comment; end the line with '# who asked: why'"
        },
        {
          NUMBER + "drain target=e1 #",
          2,
          "the rule has no comment; end the line with '# who asked: why'"
        },
        {
          NUMBER + "rout workspace=a model=m # a",
          2,
          "unknown rule 'rout', allowed are call, drain, limit, number, route, want;"
              + " did you mean 'route'?"
        },
        {
          NUMBER + "frobnicate # a",
          2,
          "unknown rule 'frobnicate', allowed are call, drain, limit, number, route, want"
        },
        {
          NUMBER + "route workspace=a modle=m # a",
          2,
          "unknown key 'modle' for 'route', allowed are class, model, prefer, service, workspace;"
              + " did you mean 'model'?"
        },
        {NUMBER + "route model=m # a", 2, "'route' needs workspace="},
        {NUMBER + "route workspace=a # a", 2, "'route' takes exactly one of model= and service="},
        {
          NUMBER + "route workspace=a model=m service=s # a",
          2,
          "'route' takes exactly one of model= and service="
        },
        {
          NUMBER + "route workspace=a model=m class=interactiv # a",
          2,
          "class 'interactiv' is not one of batch, interactive, normal;"
              + " did you mean 'interactive'?"
        },
        {NUMBER + "route workspace=a model # a", 2, "'model' is not of the form key=value"},
        {NUMBER + "route workspace=a model= # a", 2, "'model=' is not of the form key=value"},
        {NUMBER + "route workspace=a workspace=b model=m # a", 2, "key 'workspace' is given twice"},
        {
          NUMBER + "route workspace=a model=m # a\nroute workspace=a model=m # b",
          3,
          "'route workspace=a to MODEL m' stands already in line 2"
        },
        {NUMBER + "limit workspace=a concurrent=1 # a", 2, "'limit' needs rate="},
        {
          NUMBER + "limit workspace=a rate=-1 concurrent=1 # a",
          2,
          "rate '-1' must be a positive number a second, such as 20/s"
        },
        {
          NUMBER + "limit workspace=a rate=5/m concurrent=1 # a",
          2,
          "rate '5/m' must be a positive number a second, such as 20/s"
        },
        {
          NUMBER + "limit workspace=a rate=5 concurrent=0 # a",
          2,
          "concurrent '0' must be a whole number of at least 1"
        },
        {
          NUMBER + "limit workspace=a rate=5 concurrent=1.5 # a",
          2,
          "concurrent '1.5' must be a whole number of at least 1"
        },
        {
          NUMBER + "call service=s path=orders repeat=never # a",
          2,
          "path 'orders' must start with '/'"
        },
        {
          NUMBER + "call service=s path=/o repeat=nevr # a",
          2,
          "repeat 'nevr' is not one of never, safe; did you mean 'never'?"
        },
        {
          NUMBER + "call service=s path=/o repeat=never method=PSOT # a",
          2,
          "method 'PSOT' is not one of *, DELETE, GET, HEAD, PATCH, POST, PUT; did you mean"
              + " 'POST'?"
        },
        {
          NUMBER + "drain target=e1 # a\ndrain target=e1 # b",
          3,
          "'drain target=e1' stands already in line 2"
        },
        {
          NUMBER + "want model=m replicas=none # a",
          2,
          "replicas 'none' must be a whole number of at least 1"
        },
        {
          NUMBER + "drain target=" + "e".repeat(1_000) + " # a",
          2,
          "the line has more than 1000 characters"
        },
      };
    }

    /** The message names what was wrong and what is allowed. */
    @Test(dataProvider = "faults")
    public void isRefusedWith(String text, int line, String message) {
      RuleParseResult.Invalid invalid = (RuleParseResult.Invalid) RuleParser.parse(text);
      assertEquals(invalid.faults().get(0), new RuleFault(line, message));
    }

    /** Every faulty line is named, not only the first. */
    @Test
    public void namesEveryFaultyLine() {
      RuleParseResult.Invalid invalid =
          (RuleParseResult.Invalid) RuleParser.parse("number 1\nrout x\nlimit workspace=a # b\n");
      assertEquals(invalid.faults().stream().map(RuleFault::line).distinct().toList().size(), 3);
    }
  }

  /** What valid files mean. */
  public static final class MeaningTest {
    /** A rule for the workspace goes before a rule for every workspace. */
    @Test
    public void ownRuleGoesFirst() {
      RuleSet rules =
          parse(
              NUMBER
                  + "route workspace=* model=m class=batch # a\n"
                  + "route workspace=w model=m class=interactive # b\n");
      assertEquals(
          rules.route("w", DestinationKind.MODEL, "m").orElseThrow().priority(),
          Priority.INTERACTIVE);
      assertEquals(
          rules.route("v", DestinationKind.MODEL, "m").orElseThrow().priority(), Priority.BATCH);
      assertTrue(rules.route("v", DestinationKind.SERVICE, "m").isEmpty());
    }

    /** A call that no rule covers may not be repeated; the longest path decides. */
    @Test
    public void longestPathDecidesOnRepeats() {
      RuleSet rules =
          parse(
              NUMBER
                  + "call service=s path=/ repeat=safe # a\n"
                  + "call service=s path=/orders repeat=never # b\n");
      assertTrue(rules.repeatable("s", "GET", "/stock"));
      assertFalse(rules.repeatable("s", "POST", "/orders/7"));
      assertTrue(rules.repeatable("s", "POST", "/ordersheet"));
      assertFalse(rules.repeatable("other", "GET", "/stock"));
    }
  }
}
