package org.clementinesail.core.paths;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadCounts;
import org.clementinesail.core.load.LoadMerge;
import org.clementinesail.core.load.LoadReport;
import org.clementinesail.core.load.LoadReporter;
import org.clementinesail.core.load.LoadSummary;
import org.clementinesail.core.placement.TestModels;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Several VMs plan paths over the same engines, each with reports that lag behind. */
public class PathFleetTest {
  private static final EngineModel MODEL = TestModels.MODEL;
  private static final int VMS = 9;
  private static final int SECONDS = 30;
  private static final int PROMPT_TOKENS = 774;
  private static final int ANSWER_TOKENS = 203;
  private static final long REPORT_INTERVAL = TimeUnit.SECONDS.toNanos(1);
  private static final long LOAD_INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time of a message from one VM to another. */
  private static final long MESSAGE_TIME = TimeUnit.MILLISECONDS.toNanos(5);

  private static final long STATE_AGE = TimeUnit.MILLISECONDS.toNanos(200);

  /** An engine and what it really holds. */
  private static final class Engine {
    final String id;
    final LayerRange layers;
    final double stepFactor;
    final long memory;
    long used;
    int running;
    long reportableUse;
    int reportableRunning;

    Engine(String id, EngineModel.Accelerator kind, int from, int to) {
      this.id = id;
      this.layers = new LayerRange(from, to);
      this.stepFactor = kind.stepFactor();
      double megabytes = kind.megabytes() - layers.size() * MODEL.layerMegabytes();
      this.memory = Math.round(megabytes * 1e6 * MODEL.layers() / MODEL.kvBytesPerToken());
    }

    EngineReport report(long use, int count, long now) {
      return new EngineReport(id, true, count, 0, use, memory, 1, false, 0, layers, now);
    }
  }

  /** What one VM knows. */
  private static final class Vm {
    final Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    final LocalLoad load = new LocalLoad();
    final LoadReporter reporter = new LoadReporter();
    final PathPlanner planner;
    FleetLoad fleetLoad = FleetLoad.NONE;

    Vm(long seed) {
      Random random = new Random(seed);
      planner = new PathPlanner(load, new LinkLoad(), new LinkHealth(), () -> fleetLoad, random);
    }
  }

  private record Event(long at, Runnable action) {}

  /** A fleet of VMs under load. */
  private static final class Simulation {
    final Random random;
    final Map<String, Engine> engines = new HashMap<>();
    final List<Vm> vms = new ArrayList<>();
    final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    final Vm informed;
    final LoadMerge merge = new LoadMerge(-TimeUnit.SECONDS.toNanos(10));
    int requests;
    int refused;
    int refusedWithRoom;
    int overfilled;

    Simulation(long seed) {
      random = new Random(seed);
      informed = new Vm(seed);
      for (int i = 0; i < VMS; i++) {
        vms.add(new Vm(random.nextLong()));
      }
      for (String dataCentre : List.of("a", "b")) {
        chain(dataCentre + "-large", dataCentre, "large", 27);
        chain(dataCentre + "-middle", dataCentre, "middle", 20);
        chain(dataCentre + "-small", dataCentre, "small", 10);
      }
    }

    private void chain(String name, String dataCentre, String kind, int layers) {
      EngineModel.Accelerator accelerator = MODEL.accelerator(kind).orElseThrow();
      for (int from = 0; from < MODEL.layers(); from += layers) {
        int to = Math.min(MODEL.layers(), from + layers);
        Engine engine = new Engine(name + from, accelerator, from, to);
        engines.put(engine.id, engine);
        TargetStatement statement =
            new TargetStatement(
                engine.id,
                "lm",
                engine.id + ":1",
                dataCentre,
                MODEL.slots(),
                Phase.READY,
                kind,
                engine.layers,
                1,
                1);
        vms.forEach(vm -> vm.fleet.recordStatement(statement, 0));
        informed.fleet.recordStatement(statement, 0);
      }
    }

    void run(double perSecond) {
      for (Engine engine : engines.values()) {
        at(random.nextLong(REPORT_INTERVAL), time -> report(engine, time));
      }
      for (Vm vm : vms) {
        at(random.nextLong(LOAD_INTERVAL), time -> reportLoad(vm, time));
      }
      at(random.nextLong(LOAD_INTERVAL), this::summarizeLoad);
      long until = TimeUnit.SECONDS.toNanos(SECONDS);
      long now = 1;
      while (now < until) {
        now += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        at(now, this::request);
      }
      while (!events.isEmpty()) {
        events.poll().action().run();
      }
    }

    /** Returns how many requests per second the engines can serve with all of their memory. */
    double mostPerSecond() {
      double sum = 0;
      for (Engine first : engines.values()) {
        if (first.layers.from() == 0) {
          long tokens = (long) (PROMPT_TOKENS + ANSWER_TOKENS) * first.layers.size();
          long most = Math.round(Math.floor(0.9 * first.memory / tokens));
          sum += most / (millis(first, most, 1) / 1_000);
        }
      }
      return sum;
    }

    private static double millis(Engine engine, long running, double share) {
      double step = MODEL.stepMillis() + MODEL.perRequestMillis() * running;
      return ANSWER_TOKENS * engine.stepFactor * step * share;
    }

    @Override
    public String toString() {
      return requests
          + " requests, "
          + refused
          + " refused, "
          + refusedWithRoom
          + " of them with room, beyond the memory "
          + overfilled
          + " times";
    }

    private void at(long time, LongConsumer action) {
      events.add(new Event(time, () -> action.accept(time)));
    }

    /** Reads the state of an engine, which all VMs receive later. */
    private void report(Engine engine, long now) {
      engine.reportableUse = engine.used;
      engine.reportableRunning = engine.running;
      long received = now + STATE_AGE;
      at(
          received,
          time -> {
            for (Vm vm : vms) {
              vm.fleet.recordReport(
                  engine.report(engine.reportableUse, engine.reportableRunning, time), 0);
              vm.load.recordReport(engine.id, time);
            }
          });
      if (now < TimeUnit.SECONDS.toNanos(SECONDS)) {
        at(now + REPORT_INTERVAL, time -> report(engine, time));
      }
    }

    /** Reports the load of a VM to the leader, as each VM does every 250 ms. */
    private void reportLoad(Vm vm, long now) {
      Map<Integer, Integer> counts = LoadCounts.byHash(vm.load.requestCounts());
      Optional<LoadReport> report =
          vm.reporter.next(new LoadCounts(counts, Map.of(), Map.of()), now);
      report.ifPresent(
          r -> at(now + MESSAGE_TIME, time -> merge.record("" + vms.indexOf(vm), r, time)));
      if (now < TimeUnit.SECONDS.toNanos(SECONDS)) {
        at(now + LOAD_INTERVAL, time -> reportLoad(vm, time));
      }
    }

    /** Sends the load of all VMs to each of them, as the leader does every 250 ms. */
    private void summarizeLoad(long now) {
      if (merge.isDue(now)) {
        LoadCounts sum = merge.sum();
        for (int i = 0; i < VMS; i++) {
          Vm vm = vms.get(i);
          LoadSummary summary =
              new LoadSummary(merge.includedSequence("" + i), merge.reportingVms(), sum);
          at(
              now + MESSAGE_TIME,
              time ->
                  vm.fleetLoad = vm.reporter.receive("c", summary, engines.keySet(), time).load());
        }
      }
      if (now < TimeUnit.SECONDS.toNanos(SECONDS)) {
        at(now + LOAD_INTERVAL, this::summarizeLoad);
      }
    }

    private void request(long now) {
      requests++;
      Vm vm = vms.get(random.nextInt(VMS));
      String dataCentre = random.nextBoolean() ? "a" : "b";
      Optional<List<Hop>> path = plan(vm, dataCentre, VMS, now);
      if (path.isPresent()) {
        start(vm, path.get(), now);
      } else {
        refused++;
        refusedWithRoom += hasRoom(dataCentre, now) ? 1 : 0;
      }
    }

    private Optional<List<Hop>> plan(Vm vm, String dataCentre, int count, long now) {
      var requirements = new PathPlanner.Requirements(PROMPT_TOKENS, ANSWER_TOKENS, dataCentre);
      List<Fleet.Member> ready = vm.fleet.ready("lm", now);
      return vm.planner.plan(MODEL, ready, requirements, Set.of(), Set.of(), count, now);
    }

    /** Returns whether a VM that knows the present state of all engines finds a path. */
    private boolean hasRoom(String dataCentre, long now) {
      for (Engine engine : engines.values()) {
        informed.fleet.recordReport(engine.report(engine.used, engine.running, now), 0);
      }
      return plan(informed, dataCentre, 1, now).isPresent();
    }

    private void start(Vm vm, List<Hop> path, long now) {
      double millis = 0;
      for (Hop hop : path) {
        Engine engine = engines.get(hop.id());
        engine.running++;
        double share = (double) hop.layers().size() / MODEL.layers();
        millis += millis(engine, engine.running, share);
      }
      long end = now + (long) (millis * 1e6);
      for (Hop hop : path) {
        Engine engine = engines.get(hop.id());
        long tokens = (long) (PROMPT_TOKENS + ANSWER_TOKENS) * hop.layers().size();
        engine.used += tokens;
        if (engine.used > engine.memory) {
          overfilled++;
        }
        LocalLoad.Assignment assignment = vm.load.assign(hop.id(), tokens, now);
        at(
            end,
            time -> {
              engine.used -= tokens;
              engine.running--;
              vm.load.release(assignment, time);
            });
      }
    }
  }

  private static Object[][] loads(double... shares) {
    List<Object[]> cases = new ArrayList<>();
    for (double share : shares) {
      for (long seed = 1; seed <= 3; seed++) {
        cases.add(new Object[] {share, seed});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /** Requests as a share of what the engines can serve, and the seed. */
  @DataProvider
  public Object[][] ordinaryLoads() {
    return loads(0.35, 0.5, 0.7);
  }

  /** A request is refused only if the engines have no room for it. */
  @Test(dataProvider = "ordinaryLoads")
  public void noRequestIsRefusedWhileEnginesHaveRoom(double share, long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run(share * simulation.mostPerSecond());
    assertEquals(simulation.refusedWithRoom, 0, simulation.toString());
    assertEquals(simulation.refused, 0, simulation.toString());
  }

  /** Only what exceeds the rate that the engines can serve is refused. */
  @Test
  public void noMoreIsRefusedThanExceedsTheEnginesRate() {
    List<String> failures = new ArrayList<>();
    for (Object[] load : loads(0.85, 1.0, 1.3, 1.5)) {
      Simulation simulation = new Simulation((long) load[1]);
      simulation.run((double) load[0] * simulation.mostPerSecond());
      double excess = Math.max(0, simulation.requests - simulation.mostPerSecond() * SECONDS);
      if (simulation.refused > excess) {
        failures.add(load[0] + ", seed " + load[1] + ": " + simulation + ", excess " + excess);
      }
    }
    assertEquals(failures, List.of());
  }
}
