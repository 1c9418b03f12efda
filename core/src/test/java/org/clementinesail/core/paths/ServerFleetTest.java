package org.clementinesail.core.paths;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadCounts;
import org.clementinesail.core.load.LoadMerge;
import org.clementinesail.core.load.LoadReporter;
import org.clementinesail.core.load.LoadSummary;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Many VMs before few servers: each VM alone knows next to nothing of the servers' load. */
public final class ServerFleetTest {
  private static final int VMS = 130;
  private static final int SLOTS = 6;
  private static final int SECONDS = 20;
  private static final double CALL_SECONDS = 0.021;
  private static final long LOAD_INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

  private record Event(long at, Runnable action) {}

  private static final class Vm {
    final LocalLoad load = new LocalLoad();
    final LoadReporter reporter = new LoadReporter();
    final String dataCentre;
    final ServerPicker picker;
    FleetLoad fleetLoad = FleetLoad.NONE;

    Vm(String dataCentre, Random random) {
      this.dataCentre = dataCentre;
      this.picker = new ServerPicker(load, () -> fleetLoad, random);
    }
  }

  private static final class Simulation {
    final Random random = new Random(5);
    final boolean shared;
    final Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    final List<Vm> vms = new ArrayList<>();
    final int[] running = new int[DATA_CENTRES.size()];
    final int[] served = new int[DATA_CENTRES.size()];
    final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    final LoadMerge merge = new LoadMerge(-TimeUnit.SECONDS.toNanos(10));
    int calls;
    int refused;
    int unserved;

    /** Two thirds of the demand arrive in one data centre, as demand moves between them. */
    Simulation(boolean shared, double share) {
      this.shared = shared;
      for (String dataCentre : DATA_CENTRES) {
        fleet.recordStatement(
            new TargetStatement(
                dataCentre, "s", dataCentre + ":1", dataCentre, SLOTS, Phase.READY, "", null, 1, 1),
            0);
      }
      for (int i = 0; i < VMS; i++) {
        String dataCentre = i % 3 < 2 ? "a" : i % 2 == 0 ? "b" : "c";
        vms.add(new Vm(dataCentre, random));
      }
      long end = TimeUnit.SECONDS.toNanos(SECONDS);
      for (long at = 0; at < end; at += LOAD_INTERVAL) {
        long time = at;
        vms.forEach(
            vm ->
                events.add(
                    new Event(time + random.nextLong(LOAD_INTERVAL), () -> report(vm, time))));
        events.add(new Event(time, () -> summarize(time)));
      }
      double perSecond = share * SLOTS * DATA_CENTRES.size() / CALL_SECONDS;
      for (long at = 1;
          at < end;
          at += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9)) {
        long time = at;
        events.add(new Event(at, () -> call(vms.get(random.nextInt(VMS)), time)));
      }
      while (!events.isEmpty()) {
        events.poll().action.run();
      }
    }

    private void report(Vm vm, long now) {
      Map<Integer, Integer> counts = LoadCounts.byHash(vm.load.requestCounts());
      vm.reporter
          .next(new LoadCounts(counts, Map.of(), Map.of()), now)
          .ifPresent(report -> merge.record("" + vms.indexOf(vm), report, now));
    }

    private void summarize(long now) {
      if (!shared || !merge.isDue(now)) {
        return;
      }
      for (int i = 0; i < VMS; i++) {
        LoadSummary summary =
            new LoadSummary(merge.includedSequence("" + i), merge.reportingVms(), merge.sum());
        Vm vm = vms.get(i);
        vm.fleetLoad = vm.reporter.receive("c", summary, DATA_CENTRES, now).load();
      }
    }

    /** A call that a server refuses goes to another one, as the proxy does. */
    private void call(Vm vm, long now) {
      calls++;
      Set<String> excluded = new HashSet<>();
      List<Fleet.Member> ready = fleet.ready("s", now);
      for (int attempt = 0; attempt < ready.size(); attempt++) {
        Optional<Fleet.Member> choice = vm.picker.pick(ready, excluded, vm.dataCentre, now);
        String id = choice.orElseThrow().statement().id();
        int server = DATA_CENTRES.indexOf(id);
        if (running[server] < SLOTS) {
          running[server]++;
          served[server]++;
          LocalLoad.Assignment assignment = vm.load.assign(id, 0, now);
          long end = now + (long) (CALL_SECONDS * 1e9);
          events.add(
              new Event(
                  end,
                  () -> {
                    running[server]--;
                    vm.load.release(assignment, end);
                  }));
          return;
        }
        refused++;
        excluded.add(id);
      }
      unserved++;
    }

    int spread() {
      return Arrays.stream(served).max().orElse(0) - Arrays.stream(served).min().orElse(0);
    }

    @Override
    public String toString() {
      return calls
          + " calls, "
          + refused
          + " refused by a server, "
          + unserved
          + " unserved, "
          + Arrays.toString(served);
    }
  }

  /** Calls as a share of what the servers can serve. */
  @DataProvider
  public Object[][] shares() {
    return new Object[][] {{0.5}, {0.6}, {0.7}, {0.8}, {0.9}};
  }

  /** All VMs choose the same server until it refuses, although others have free slots. */
  @Test(dataProvider = "shares")
  public void sharedLoadLeadsToFewerRefusals(double share) {
    Simulation alone = new Simulation(false, share);
    Simulation shared = new Simulation(true, share);
    String figures = share + ": alone " + alone + "; shared " + shared;
    Reporter.log(figures, true);
    assertTrue(shared.refused < alone.refused, figures);
    assertTrue(shared.spread() <= alone.spread(), figures);
  }
}
