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
 * A pool of engines on a stepped clock: each is a queue with a rate and a link, and nothing more.
 *
 * <p>A fixed number of requests is always in progress; each takes a chain when it begins and keeps
 * it to its last token. Engines report their load with a lag.
 */
final class SteppedPool {
  static final int VMS = 9;

  private static final int LAYERS = 48;
  private static final int[][] RANGES = {{0, 16}, {16, 32}, {32, 48}, {0, 24}, {24, 48}};
  private static final double[] LAYERS_PER_SECOND = {8_000, 4_000, 2_000};
  private static final double[] LINK_SECONDS = {0.0005, 0.005, 0.05};
  private static final double REPORT_SECONDS = 0.5;
  private static final double REPORT_LAG_SECONDS = 0.4;
  private static final double WARM_UP_SECONDS = 20;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Chooses chains for one VM and hears what becomes of them. */
  interface Policy {
    List<Stage> choose(ModelPool pool, long now);

    default void assigned(List<Stage> chain) {}

    default void released(List<Stage> chain) {}

    default void stepFinished(String target, double overheadSeconds) {}
  }

  /** Creates the policy of one VM. */
  @FunctionalInterface
  interface PolicyFactory {
    Policy create(int vm);
  }

  /**
   * What a run came to.
   *
   * @param tokensPerSecond tokens a second after the warm-up
   * @param bound the largest flow of tokens
   */
  record Result(double tokensPerSecond, double bound) {
    double share() {
      return tokensPerSecond / bound;
    }
  }

  private static final class Engine {
    TargetRecord fact;
    final double link;
    double freeAt;
    int queued;

    Engine(TargetRecord fact, double link) {
      this.fact = fact;
      this.link = link;
    }
  }

  private static final class Course {
    final int vm;
    final int tokens;
    List<Stage> chain = List.of();
    int stage;
    int done;
    double sentAt;

    Course(int vm, int tokens) {
      this.vm = vm;
      this.tokens = tokens;
    }
  }

  private record Event(double at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final List<Engine> engines = new ArrayList<>();
  private final List<Policy> policies = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final int tokensPerRequest;
  private ModelPool pool;
  private double now;
  private long order;
  private int nextVm;
  private long tokens;

  private SteppedPool(int copies, int tokensPerRequest, PolicyFactory factory) {
    this.tokensPerRequest = tokensPerRequest;
    for (int i = 0; i < copies * RANGES.length; i++) {
      engines.add(engine(i));
    }
    this.pool = new ModelPool(engines.stream().map(e -> e.fact).toList());
    for (int vm = 0; vm < VMS; vm++) {
      policies.add(factory.create(vm));
    }
  }

  private static Engine engine(int i) {
    int[] range = RANGES[i % RANGES.length];
    int kind = i / RANGES.length % LAYERS_PER_SECOND.length;
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
    double link = LINK_SECONDS[i / 2 % LINK_SECONDS.length];
    TargetLoad idle = new TargetLoad(0, 0, 0, 0);
    return new Engine(new TargetRecord(description, 1, 1, false, idle, Long.MAX_VALUE), link);
  }

  /**
   * Runs a pool under a constant number of requests.
   *
   * @param copies engines for each range of layers
   * @param concurrent requests in progress
   * @param tokensPerRequest tokens of each request
   * @param seconds time on the stepped clock after the warm-up
   * @param factory creates each VM's policy
   */
  static Result run(
      int copies, int concurrent, int tokensPerRequest, double seconds, PolicyFactory factory) {
    SteppedPool run = new SteppedPool(copies, tokensPerRequest, factory);
    double bound = FlowBound.tokensPerSecond(run.pool);
    for (int i = 0; i < concurrent; i++) {
      run.at(i * 0.001, run::begin);
    }
    run.at(REPORT_SECONDS, run::report);
    run.until(WARM_UP_SECONDS);
    long before = run.tokens;
    run.until(WARM_UP_SECONDS + seconds);
    return new Result((run.tokens - before) / seconds, bound);
  }

  private void until(double end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  private void at(double time, Runnable action) {
    events.add(new Event(time, order++, action));
  }

  private void begin() {
    Course course = new Course(nextVm, tokensPerRequest);
    nextVm = (nextVm + 1) % VMS;
    course.chain = policies.get(course.vm).choose(pool, nanos());
    policies.get(course.vm).assigned(course.chain);
    send(course);
  }

  private void send(Course course) {
    Stage stage = course.chain.get(course.stage);
    Engine engine = engineOf(stage);
    course.sentAt = now;
    at(now + engine.link, () -> arrive(course, engine, stage));
  }

  private void arrive(Course course, Engine engine, Stage stage) {
    double work = stage.layers().size() / ModelRate.of(engine.fact);
    engine.queued++;
    engine.freeAt = Math.max(now, engine.freeAt) + work;
    at(
        engine.freeAt,
        () -> {
          engine.queued--;
          at(now + engine.link, () -> answered(course, stage, work));
        });
  }

  private void answered(Course course, Stage stage, double work) {
    Policy policy = policies.get(course.vm);
    policy.stepFinished(stage.target().name(), now - course.sentAt - work);
    course.stage++;
    if (course.stage < course.chain.size()) {
      send(course);
      return;
    }
    tokens++;
    course.stage = 0;
    course.done++;
    if (course.done < course.tokens) {
      send(course);
    } else {
      policy.released(course.chain);
      begin();
    }
  }

  /** Engines report what they have now; the VMs see it after the lag. */
  private void report() {
    List<TargetRecord> reported = new ArrayList<>();
    for (Engine engine : engines) {
      TargetRecord fact = engine.fact;
      TargetLoad load = new TargetLoad(engine.queued, 0, 0, nanos());
      reported.add(
          new TargetRecord(
              fact.description(), 1, fact.sequence() + 1, false, load, fact.leaseDeadline()));
    }
    at(
        now + REPORT_LAG_SECONDS,
        () -> {
          for (int i = 0; i < engines.size(); i++) {
            engines.get(i).fact = reported.get(i);
          }
          pool = new ModelPool(reported);
        });
    at(now + REPORT_SECONDS, this::report);
  }

  private Engine engineOf(Stage stage) {
    String name = stage.target().name();
    return engines.get(Integer.parseInt(name.substring(name.indexOf('-') + 1)));
  }

  private long nanos() {
    return (long) (now * NANOS_PER_SECOND);
  }
}
