package org.clementinesail.core.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The course of a request over a chain, with stages that fail at every point. */
public final class PipelineRunTest {
  private static final int LAYERS = 6;
  private static final int TOKENS = 7;
  private static final List<String> PROMPT = List.of("a", "b", "c");

  /**
   * An engine that writes the trace of layers and positions into its outputs, so that a layer left
   * out, doubled or out of order shows in the token.
   */
  private static final class TracingEngine {
    private final Map<String, List<String>> held = new HashMap<>();
    private int stored;

    StepResult run(StepCall call) {
      List<String> memory = held.computeIfAbsent(call.requestId(), key -> new ArrayList<>());
      assertTrue(call.firstPosition() <= memory.size(), "the step leaves a gap");
      List<String> outputs = new ArrayList<>();
      int position = call.firstPosition();
      for (String input : call.inputs()) {
        if (position == memory.size()) {
          memory.add(input);
          stored++;
        }
        assertEquals(memory.get(position), input, "a position was computed from other inputs");
        outputs.add(input + call.stage().layers() + ";");
        position++;
      }
      String last = outputs.get(outputs.size() - 1);
      String token =
          call.wantsToken()
              ? "<" + (position - 1) + ":" + Integer.toHexString(last.hashCode()) + ">"
              : null;
      return new StepResult(
          call.requestId(),
          call.attempt(),
          call.firstPosition(),
          call.wantsToken() ? List.of() : outputs,
          token,
          false);
    }
  }

  private static Stage stage(String name, int from, int to) {
    TargetDescription.Engine engine =
        new TargetDescription.Engine(new LayerRange(from, to), LAYERS, false, "a", 1, true);
    return new Stage(
        new TargetDescription(name, "http://127.0.0.1:1", "dc", "m", engine),
        new LayerRange(from, to));
  }

  private static List<Stage> chain(String suffix) {
    return List.of(stage("x" + suffix, 0, 2), stage("y" + suffix, 2, 4), stage("z" + suffix, 4, 6));
  }

  /** Runs to the end; the step with the given number fails, once before and once after its work. */
  private static String run(
      int failingStep, boolean afterWork, Map<String, TracingEngine> engines) {
    PipelineRun run = new PipelineRun("r", LAYERS, PROMPT, TOKENS);
    run.assignStages(chain(""));
    StringBuilder text = new StringBuilder();
    int steps = 0;
    while (!(run.action() instanceof PipelineRun.Action.Finished)) {
      if (run.action() instanceof PipelineRun.Action.PlanStages replace) {
        run.assignStages(
            chain("2").stream().filter(s -> s.layers().equals(replace.layers())).toList());
        continue;
      }
      StepCall call = ((PipelineRun.Action.Step) run.action()).call();
      TracingEngine engine =
          engines.computeIfAbsent(call.stage().target().name(), key -> new TracingEngine());
      boolean fails = steps++ == failingStep;
      if (fails && !afterWork) {
        run.handleFailure(StepFailure.CRASHED);
        continue;
      }
      StepResult result = engine.run(call);
      if (fails) {
        run.handleFailure(StepFailure.SILENT);
        assertNull(run.handleResult(result), "a late answer to an earlier attempt was taken");
        continue;
      }
      String token = run.handleResult(result);
      if (token != null) {
        text.append(token);
      }
    }
    return text.toString();
  }

  /** Every step of a run of seven tokens over three stages. */
  @DataProvider
  public Object[][] steps() {
    Object[][] steps = new Object[3 * TOKENS][];
    for (int i = 0; i < steps.length; i++) {
      steps[i] = new Object[] {i};
    }
    return steps;
  }

  /** Whatever step fails, before or after its work, the text is that of a run without failure. */
  @Test(dataProvider = "steps")
  public void textIsTheSameWhicheverStepFails(int step) {
    String expected = run(-1, false, new HashMap<>());
    assertEquals(run(step, false, new HashMap<>()), expected);
    assertEquals(run(step, true, new HashMap<>()), expected);
  }

  /** The stages that did not fail store no position twice; only the new stage stores all again. */
  @Test
  public void onlyTheNewStageStoresAgain() {
    Map<String, TracingEngine> engines = new HashMap<>();
    run(10, false, engines);
    int positions = PROMPT.size() + TOKENS - 1;
    assertEquals(engines.get("x").stored, positions);
    assertEquals(engines.get("z").stored, positions);
    assertTrue(engines.get("y").stored < positions);
    assertEquals(engines.get("y2").stored, positions);
  }

  /** Answers that belong to another attempt, request or position are dropped and counted. */
  @Test
  public void resultsOfOtherStepsAreDropped() {
    PipelineRun run = new PipelineRun("r", LAYERS, PROMPT, TOKENS);
    run.assignStages(List.of(stage("w", 0, 6)));
    assertNull(run.handleResult(new StepResult("other", 1, 0, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 2, 0, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 1, 1, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 1, 0, List.of("x"), null, false)));
    assertEquals(run.staleResults(), 4);
    assertEquals(run.handleResult(new StepResult("r", 1, 0, List.of(), "t", false)), "t");
  }

  /** Stages that leave a layer out or run one twice are refused. */
  @Test(expectedExceptions = IllegalArgumentException.class)
  public void chainMustCoverEveryLayerOnce() {
    new PipelineRun("r", LAYERS, PROMPT, 1)
        .assignStages(List.of(stage("x", 0, 3), stage("y", 2, 6)));
  }

  /** Turns of requests in doubt. */
  public static final class IsolationTurnsTest {
    /** One VM at a time runs on a target; the first by name of those that wait goes next. */
    @Test
    public void oneVmAtATimeOnATarget() {
      IsolationTurns turns = new IsolationTurns("vm-2");
      assertTrue(turns.mayRun("e1", 0));
      turns.recordPeerState("vm-3", "e1", IsolationTurns.State.WAITING, 0);
      assertTrue(turns.mayRun("e1", 0));
      turns.recordPeerState("vm-3", "e1", IsolationTurns.State.RUNNING, 0);
      assertFalse(turns.mayRun("e1", 0));
      assertTrue(turns.mayRun("e2", 0), "another target");
      turns.recordPeerState("vm-3", "e1", IsolationTurns.State.DONE, 0);
      turns.recordPeerState("vm-1", "e1", IsolationTurns.State.WAITING, 0);
      assertFalse(turns.mayRun("e1", 0));
      assertTrue(turns.mayRun("e1", 6_000_000_000L), "a VM that is not heard of any more");
    }
  }

  /** Blame for crashes. */
  public static final class CrashHistoryTest {
    private static CrashHistory.CrashRecord mark(int position, String target, boolean isolated) {
      return new CrashHistory.CrashRecord("d", position, target, isolated);
    }

    /** A request that crashes two targets at one position is blamed, under any id. */
    @Test
    public void twoCrashesAtOnePositionAreBlamed() {
      CrashHistory ledger = new CrashHistory();
      ledger.recordCrash(mark(3, "e1#1", false), 0);
      assertTrue(ledger.suspected("d"));
      assertFalse(ledger.blamed("d"));
      ledger.recordCrash(mark(3, "e1#1", true), 0);
      assertFalse(ledger.blamed("d"), "the same crash counted twice");
      ledger.recordCrash(mark(3, "e2#1", true), 0);
      assertTrue(ledger.blamed("d"));
    }

    /** Equal requests that ran side by side where two targets crashed are not blamed for that. */
    @Test
    public void crashesWithoutIsolationAreNotBlamed() {
      CrashHistory ledger = new CrashHistory();
      ledger.recordCrash(mark(3, "e1#1", false), 0);
      ledger.recordCrash(mark(3, "e2#1", false), 0);
      assertTrue(ledger.suspected("d"));
      assertFalse(ledger.blamed("d"));
    }

    /** A request that gets past the position on another target was only beside the crash. */
    @Test
    public void requestPastThePositionIsCleared() {
      CrashHistory ledger = new CrashHistory();
      ledger.recordCrash(mark(3, "e1#1", false), 0);
      ledger.recordPassed("d", 3);
      assertFalse(ledger.suspected("d"));
      ledger.recordCrash(mark(9, "e2#1", true), 0);
      assertFalse(ledger.blamed("d"));
    }

    /** Crashes are forgotten after their retention. */
    @Test
    public void crashesAreForgotten() {
      CrashHistory ledger = new CrashHistory();
      ledger.recordCrash(mark(3, "e1#1", false), 0);
      ledger.expire(CrashHistory.RETENTION_NANOS + 1);
      assertFalse(ledger.suspected("d"));
    }
  }
}
