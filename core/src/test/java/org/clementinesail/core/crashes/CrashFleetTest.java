package org.clementinesail.core.crashes;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how many requests with a part that crashes targets a whole fleet of VMs sends. */
public final class CrashFleetTest {
  private static final long DEADLY = -1;
  private static final int FIRST_PARTS = 60;
  private static final long CONTACT_WINDOW_MS = 3_000;

  /** Seeds, numbers of VMs, requests a second, shares with the deadly part, and minutes. */
  @DataProvider
  public Object[][] loads() {
    List<Object[]> loads = new ArrayList<>();
    for (long seed = 1; seed <= 30; seed++) {
      loads.add(new Object[] {seed, 9, 40, 0.05, 10});
      loads.add(new Object[] {seed, 9, 40, 0.25, 10});
      loads.add(new Object[] {seed, 60, 400, 0.05, 10});
      loads.add(new Object[] {seed, 60, 400, 0.1, 3});
      loads.add(new Object[] {seed, 60, 400, 0.25, 1});
    }
    return loads.toArray(Object[][]::new);
  }

  /** VMs that each try the part again send one request each before they hear of its crash. */
  @Test(dataProvider = "loads")
  public void fewDeadlyRequestsAreSent(
      long seed, int vms, int requestsPerSecond, double share, int minutes) {
    Fleet fleet = new Fleet(seed, vms);
    fleet.play(TimeUnit.MINUTES.toMillis(minutes), requestsPerSecond, share);
    List<Long> late = fleet.sentLate();
    assertTrue(late.size() <= 3, "deadly requests were sent late, after ms " + late);
    assertTrue(
        fleet.soundRefused * 100 <= fleet.soundSent,
        fleet.soundRefused + " sound requests were refused, " + fleet.soundSent + " were sent");
  }

  /** VMs and targets that exchange messages; all times are milliseconds since the start. */
  private static final class Fleet {
    private static final int TARGETS = 30;
    private static final int RESTART_MS = 3_300;

    int soundSent;
    int soundRefused;
    private final List<Long> deadlySentAt = new ArrayList<>();
    private final List<Long> crashedAt = new ArrayList<>();
    private final Random random;
    private final List<PartCrashes> vms = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;

    Fleet(long seed, int size) {
      random = new Random(seed);
      for (int i = 0; i < size; i++) {
        vms.add(new PartCrashes(() -> size, random.nextLong()));
      }
      for (int i = 0; i < TARGETS; i++) {
        targets.add(new Target("e" + i));
      }
    }

    void play(long millis, int requestsPerSecond, double share) {
      for (long at = 0; at < millis; at += 1_000) {
        for (int i = 0; i < requestsPerSecond; i++) {
          schedule(at + random.nextInt(1_000), () -> arrive(newRequest(share)));
        }
        while (!events.isEmpty() && events.peek().at < at + 1_000) {
          Event next = events.remove();
          now = next.at;
          next.action.run();
        }
      }
    }

    /** Returns how long after the fifth crash deadly requests were sent, if that was late. */
    List<Long> sentLate() {
      return crashedAt.size() < 5
          ? List.of()
          : deadlySentAt.stream()
              .map(t -> t - crashedAt.get(4))
              .filter(t -> t > CONTACT_WINDOW_MS)
              .toList();
    }

    private Request newRequest(double share) {
      long part = (long) (FIRST_PARTS * Math.pow(random.nextDouble(), 2));
      boolean deadly = random.nextDouble() < share;
      return new Request(deadly ? List.of(part, DEADLY) : List.of(part), deadly);
    }

    private void arrive(Request request) {
      send(request, vms.get(random.nextInt(vms.size())), 1);
    }

    private void send(Request request, PartCrashes vm, int attempt) {
      List<Target> up = targets.stream().filter(t -> t.upAt <= now).toList();
      if (up.isEmpty()) {
        return;
      }
      if (vm.refusedUntil(request.parts, nanos(now)).isPresent()) {
        soundRefused += request.deadly ? 0 : 1;
        return;
      }
      vm.recordSent(request.parts, nanos(now));
      if (request.deadly) {
        deadlySentAt.add(now);
      } else {
        soundSent++;
      }
      Target target = up.get(random.nextInt(up.size()));
      Call call = new Call(request, vm, attempt, now);
      target.calls.add(call);
      schedule(now + 50 + random.nextInt(100), () -> begin(target, call));
    }

    private void begin(Target target, Call call) {
      if (!target.calls.remove(call)) {
        return;
      }
      if (!call.request.deadly) {
        spread(call.vm, call.vm.recordAnswer(call.request.parts, nanos(now)));
        return;
      }
      crashedAt.add(now);
      target.calls.add(call);
      List<Call> lost = List.copyOf(target.calls);
      String lifetime = target.name + "@" + target.upAt;
      target.calls.clear();
      target.upAt = now + RESTART_MS;
      long at = now;
      lost.forEach(c -> schedule(at + 2 + random.nextInt(20), () -> lose(c, lifetime)));
    }

    private void lose(Call call, String lifetime) {
      var crash = new CrashRecord.Crash(lifetime, nanos(call.sentAt), nanos(now));
      spread(
          call.vm,
          call.request.parts.stream().map(key -> call.vm.recordCrash(key, crash)).toList());
      if (call.attempt < 2) {
        send(call.request, call.vm, 2);
      } else if (!call.request.repeated) {
        schedule(now + 100, () -> arrive(call.request.repeat()));
      }
    }

    private void spread(PartCrashes from, List<CrashRecord> records) {
      if (records.isEmpty()) {
        return;
      }
      for (PartCrashes vm : vms) {
        if (vm != from) {
          schedule(now + 10 + random.nextInt(150), () -> receive(vm, records));
        }
      }
    }

    private void receive(PartCrashes vm, List<CrashRecord> records) {
      for (CrashRecord record : records) {
        if (vm.merge(record, nanos(now))) {
          vm.recallAnswer(record.key(), nanos(now)).ifPresent(r -> spread(vm, List.of(r)));
        }
      }
    }

    private static long nanos(long millis) {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void schedule(long at, Runnable action) {
      events.add(new Event(at, action));
    }
  }

  private static final class Target {
    final String name;
    final Set<Call> calls = new LinkedHashSet<>();
    long upAt;

    Target(String name) {
      this.name = name;
    }
  }

  private record Request(List<Long> parts, boolean deadly, boolean repeated) {
    Request(List<Long> parts, boolean deadly) {
      this(parts, deadly, false);
    }

    Request repeat() {
      return new Request(parts, deadly, true);
    }
  }

  /** One attempt of a request; compared by identity. */
  private static final class Call {
    final Request request;
    final PartCrashes vm;
    final int attempt;
    final long sentAt;

    Call(Request request, PartCrashes vm, int attempt, long sentAt) {
      this.request = request;
      this.vm = vm;
      this.attempt = attempt;
      this.sentAt = sentAt;
    }
  }

  private record Event(long at, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return Long.compare(at, other.at);
    }
  }
}
