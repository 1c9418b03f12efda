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

/** Runs requests on a chain whose stages fail at every step, and attributes crashes to requests. */
public final class PipelineRunTest {
  private static final int LAYERS = 6;
  private static final int TOKENS = 7;
  private static final List<String> PROMPT = List.of("a", "b", "c");

  /**
   * An engine that writes a trace of layers and positions to its outputs, so that a token changes
   * if a layer is skipped, repeated or out of order.
   */
  private static final class TracingEngine {
    private final Map<String, List<String>> memoryByRequest = new HashMap<>();
    private int stored;

    StepResult run(StepCall call) {
      List<String> memory =
          memoryByRequest.computeIfAbsent(call.requestId(), key -> new ArrayList<>());
      assertTrue(
          call.firstPosition() <= memory.size(), "the step skips positions that are not stored");
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

  /**
   * Runs a request to its end and returns the text.
   *
   * @param failingStep number of the step that fails, from 0; -1 for none
   * @param afterWork whether the step fails after the engine has run it
   * @param engines map to which the engines are added by name
   */
  private static String run(
      int failingStep, boolean afterWork, Map<String, TracingEngine> engines) {
    PipelineRun run = new PipelineRun("r", LAYERS, PROMPT, TOKENS);
    run.assignStages(chain(""));
    StringBuilder text = new StringBuilder();
    int steps = 0;
    while (!(run.action() instanceof PipelineRun.Action.Finished)) {
      if (run.action() instanceof PipelineRun.Action.PlanStages planStages) {
        run.assignStages(
            chain("2").stream().filter(s -> s.layers().equals(planStages.layers())).toList());
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
        assertNull(run.handleResult(result), "the result of an earlier attempt was accepted");
        continue;
      }
      String token = run.handleResult(result);
      if (token != null) {
        text.append(token);
      }
    }
    return text.toString();
  }

  /** Returns the numbers of all steps of a run of seven tokens on three stages. */
  @DataProvider
  public Object[][] steps() {
    Object[][] steps = new Object[3 * TOKENS][];
    for (int i = 0; i < steps.length; i++) {
      steps[i] = new Object[] {i};
    }
    return steps;
  }

  /**
   * The text equals that of a run without failures, whichever step fails, before or after its work.
   */
  @Test(dataProvider = "steps")
  public void textIsTheSameWhicheverStepFails(int step) {
    String expected = run(-1, false, new HashMap<>());
    assertEquals(run(step, false, new HashMap<>()), expected);
    assertEquals(run(step, true, new HashMap<>()), expected);
  }

  /**
   * Only the replacement of a failed stage stores all positions again; other stages store none
   * twice.
   */
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

  /**
   * Results of another attempt, request or position, or without a token, are ignored and counted.
   */
  @Test
  public void resultsOfOtherStepsAreIgnored() {
    PipelineRun run = new PipelineRun("r", LAYERS, PROMPT, TOKENS);
    run.assignStages(List.of(stage("w", 0, 6)));
    assertNull(run.handleResult(new StepResult("other", 1, 0, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 2, 0, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 1, 1, List.of(), "t", false)));
    assertNull(run.handleResult(new StepResult("r", 1, 0, List.of("x"), null, false)));
    assertEquals(run.staleResults(), 4);
    assertEquals(run.handleResult(new StepResult("r", 1, 0, List.of(), "t", false)), "t");
  }

  /** Stages that skip a layer or run one twice are rejected. */
  @Test(expectedExceptions = IllegalArgumentException.class)
  public void chainMustCoverEveryLayerOnce() {
    new PipelineRun("r", LAYERS, PROMPT, 1)
        .assignStages(List.of(stage("x", 0, 3), stage("y", 2, 6)));
  }

  /** Tests which VM may run a suspected request. */
  public static final class IsolationTurnsTest {
    /** One VM at a time runs on a target; among waiting VMs, the first by name is next. */
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
      assertTrue(turns.mayRun("e1", 6_000_000_000L), "the state of vm-1 has not expired after 5 s");
    }
  }

  /** Tests which requests are blamed for crashes. */
  public static final class CrashHistoryTest {
    private static CrashHistory.CrashRecord crash(int position, String target, boolean isolated) {
      return new CrashHistory.CrashRecord("d", position, target, isolated);
    }

    /**
     * A digest that crashes two targets at the same position is blamed, whatever the request id.
     */
    @Test
    public void twoCrashesAtOnePositionAreBlamed() {
      CrashHistory history = new CrashHistory();
      history.recordCrash(crash(3, "e1#1", false), 0);
      assertTrue(history.suspected("d"));
      assertFalse(history.blamed("d"));
      history.recordCrash(crash(3, "e1#1", true), 0);
      assertFalse(history.blamed("d"), "a second crash of the same target incarnation was counted");
      history.recordCrash(crash(3, "e2#1", true), 0);
      assertTrue(history.blamed("d"));
    }

    /**
     * Equal requests share a digest, so two crashes without isolation may come from two requests.
     */
    @Test
    public void crashesWithoutIsolationAreNotBlamed() {
      CrashHistory history = new CrashHistory();
      history.recordCrash(crash(3, "e1#1", false), 0);
      history.recordCrash(crash(3, "e2#1", false), 0);
      assertTrue(history.suspected("d"));
      assertFalse(history.blamed("d"));
    }

    /** A request that gets past the position on another target did not cause the crash there. */
    @Test
    public void requestPastThePositionIsCleared() {
      CrashHistory history = new CrashHistory();
      history.recordCrash(crash(3, "e1#1", false), 0);
      history.recordPassed("d", 3);
      assertFalse(history.suspected("d"));
      history.recordCrash(crash(9, "e2#1", true), 0);
      assertFalse(history.blamed("d"));
    }

    /** Crashes expire after the retention time. */
    @Test
    public void crashesExpire() {
      CrashHistory history = new CrashHistory();
      history.recordCrash(crash(3, "e1#1", false), 0);
      history.expire(CrashHistory.RETENTION_NANOS + 1);
      assertFalse(history.suspected("d"));
    }
  }
}
