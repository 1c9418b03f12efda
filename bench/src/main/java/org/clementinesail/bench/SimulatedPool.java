package org.clementinesail.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.clementinesail.core.routing.FlowBound;
import org.clementinesail.core.routing.ModelPool;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;

/**
 * Simulates a pool of engines on a simulated clock. Each engine is a FIFO queue with a rate in
 * layers per second and a link with a fixed delay.
 *
 * <p>A constant number of requests is in progress. Each plans a chain when it starts and keeps it
 * until its last token. Load reports of the engines reach the VMs with a lag.
 */
final class SimulatedPool {
  static final int VMS = 9;

  private static final int LAYERS = 48;
  private static final int[][] LAYER_RANGES = {{0, 16}, {16, 32}, {32, 48}, {0, 24}, {24, 48}};
  private static final double[] LAYERS_PER_SECOND = {8_000, 4_000, 2_000};
  private static final double[] LINK_DELAY_SECONDS = {0.0005, 0.005, 0.05};
  private static final double REPORT_INTERVAL_SECONDS = 0.5;
  private static final double REPORT_LAG_SECONDS = 0.4;
  private static final double WARM_UP_SECONDS = 20;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Chooses chains for one VM, and is notified when they are assigned, used and released. */
  interface Policy {
    List<Stage> choose(ModelPool pool, long now);

    default void assigned(List<Stage> chain) {}

    default void released(List<Stage> chain) {}

    /** Records a step; the overhead is its link delay and queue time, without the engine's work. */
    default void stepFinished(String target, double overheadSeconds) {}
  }

  /** Creates the policy of one VM. */
  @FunctionalInterface
  interface PolicyFactory {
    Policy create(int vm);
  }

  /**
   * Result of a simulation.
   *
   * @param tokensPerSecond tokens generated per second after the warm-up
   * @param bound upper bound of tokens per second, from {@link FlowBound}
   */
  record Result(double tokensPerSecond, double bound) {
    double shareOfBound() {
      return tokensPerSecond / bound;
    }
  }

  private static final class Engine {
    TargetRecord target;
    final double linkSeconds;
    double freeAtSeconds;
    int queued;

    Engine(TargetRecord target, double linkSeconds) {
      this.target = target;
      this.linkSeconds = linkSeconds;
    }
  }

  private static final class SimulatedRequest {
    final int vm;
    final int maxTokens;
    List<Stage> chain = List.of();
    int stageIndex;
    int generatedTokens;
    double sentAtSeconds;

    SimulatedRequest(int vm, int maxTokens) {
      this.vm = vm;
      this.maxTokens = maxTokens;
    }
  }

  private record Event(double atSeconds, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atSeconds, other.atSeconds);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final List<Engine> engines = new ArrayList<>();
  private final List<Policy> policies = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final int tokensPerRequest;
  private ModelPool pool;
  private double nowSeconds;
  private long nextSequence;
  private int nextVm;
  private long generatedTokens;

  private SimulatedPool(int enginesPerRange, int tokensPerRequest, PolicyFactory factory) {
    this.tokensPerRequest = tokensPerRequest;
    for (int i = 0; i < enginesPerRange * LAYER_RANGES.length; i++) {
      engines.add(engine(i));
    }
    this.pool = new ModelPool(engines.stream().map(e -> e.target).toList());
    for (int vm = 0; vm < VMS; vm++) {
      policies.add(factory.create(vm));
    }
  }

  private static Engine engine(int i) {
    int[] range = LAYER_RANGES[i % LAYER_RANGES.length];
    int kind = i / LAYER_RANGES.length % LAYERS_PER_SECOND.length;
    TargetDescription description =
        new TargetDescription(
            "engine-" + i,
            "http://10.0.0.1:9000",
            "dc",
            "model",
            new TargetDescription.Engine(
                new LayerRange(range[0], range[1]),
                LAYERS,
                false,
                "kind-" + kind,
                LAYERS_PER_SECOND[kind],
                true));
    double linkSeconds = LINK_DELAY_SECONDS[i / 2 % LINK_DELAY_SECONDS.length];
    TargetLoad idle = new TargetLoad(0, 0, 0, 0);
    return new Engine(
        new TargetRecord(description, 1, 1, false, idle, Long.MAX_VALUE), linkSeconds);
  }

  /**
   * Simulates a pool with a constant number of requests.
   *
   * @param enginesPerRange number of engines for each range of layers
   * @param concurrent number of requests in progress
   * @param tokensPerRequest tokens to generate for each request
   * @param seconds simulated time after the warm-up, in seconds
   * @param factory creates the policy of each VM
   */
  static Result run(
      int enginesPerRange,
      int concurrent,
      int tokensPerRequest,
      double seconds,
      PolicyFactory factory) {
    SimulatedPool simulation = new SimulatedPool(enginesPerRange, tokensPerRequest, factory);
    double bound = FlowBound.tokensPerSecond(simulation.pool);
    for (int i = 0; i < concurrent; i++) {
      simulation.schedule(i * 0.001, simulation::startRequest);
    }
    simulation.schedule(REPORT_INTERVAL_SECONDS, simulation::reportLoad);
    simulation.runUntil(WARM_UP_SECONDS);
    long before = simulation.generatedTokens;
    simulation.runUntil(WARM_UP_SECONDS + seconds);
    return new Result((simulation.generatedTokens - before) / seconds, bound);
  }

  private void runUntil(double endSeconds) {
    while (!events.isEmpty() && events.peek().atSeconds() <= endSeconds) {
      Event event = events.remove();
      nowSeconds = event.atSeconds();
      event.action().run();
    }
    nowSeconds = endSeconds;
  }

  private void schedule(double atSeconds, Runnable action) {
    events.add(new Event(atSeconds, nextSequence++, action));
  }

  private void startRequest() {
    SimulatedRequest request = new SimulatedRequest(nextVm, tokensPerRequest);
    nextVm = (nextVm + 1) % VMS;
    request.chain = policies.get(request.vm).choose(pool, nowNanos());
    policies.get(request.vm).assigned(request.chain);
    sendStep(request);
  }

  private void sendStep(SimulatedRequest request) {
    Stage stage = request.chain.get(request.stageIndex);
    Engine engine = engineOf(stage);
    request.sentAtSeconds = nowSeconds;
    schedule(nowSeconds + engine.linkSeconds, () -> runStep(request, engine, stage));
  }

  private void runStep(SimulatedRequest request, Engine engine, Stage stage) {
    double workSeconds = stage.layers().size() / EngineRate.layersPerSecond(engine.target);
    engine.queued++;
    engine.freeAtSeconds = Math.max(nowSeconds, engine.freeAtSeconds) + workSeconds;
    schedule(
        engine.freeAtSeconds,
        () -> {
          engine.queued--;
          schedule(nowSeconds + engine.linkSeconds, () -> finishStep(request, stage, workSeconds));
        });
  }

  private void finishStep(SimulatedRequest request, Stage stage, double workSeconds) {
    Policy policy = policies.get(request.vm);
    policy.stepFinished(stage.target().name(), nowSeconds - request.sentAtSeconds - workSeconds);
    request.stageIndex++;
    if (request.stageIndex < request.chain.size()) {
      sendStep(request);
      return;
    }
    generatedTokens++;
    request.stageIndex = 0;
    request.generatedTokens++;
    if (request.generatedTokens < request.maxTokens) {
      sendStep(request);
    } else {
      policy.released(request.chain);
      startRequest();
    }
  }

  /** Takes the current load of all engines; the VMs receive it after the report lag. */
  private void reportLoad() {
    List<TargetRecord> reported = new ArrayList<>();
    for (Engine engine : engines) {
      TargetRecord target = engine.target;
      TargetLoad load = new TargetLoad(engine.queued, 0, 0, nowNanos());
      reported.add(
          new TargetRecord(
              target.description(), 1, target.sequence() + 1, false, load, target.leaseDeadline()));
    }
    schedule(
        nowSeconds + REPORT_LAG_SECONDS,
        () -> {
          for (int i = 0; i < engines.size(); i++) {
            engines.get(i).target = reported.get(i);
          }
          pool = new ModelPool(reported);
        });
    schedule(nowSeconds + REPORT_INTERVAL_SECONDS, this::reportLoad);
  }

  private Engine engineOf(Stage stage) {
    String name = stage.target().name();
    return engines.get(Integer.parseInt(name.substring(name.indexOf('-') + 1)));
  }

  private long nowNanos() {
    return (long) (nowSeconds * NANOS_PER_SECOND);
  }
}
