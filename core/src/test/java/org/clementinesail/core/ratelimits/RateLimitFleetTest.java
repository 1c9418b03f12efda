package org.clementinesail.core.ratelimits;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how many requests a whole fleet of VMs sends to targets that limit their rate. */
public final class RateLimitFleetTest {
  private static final long WINDOW_MS = 4_000;

  /** Time from the first naming of a limit after which it must be kept. */
  private static final long CONTACT_WINDOW_MS = 3_000;

  /** Seeds, VMs, targets, requests a second of all VMs, and the limit of each target. */
  @DataProvider
  public Object[][] fleets() {
    List<Object[]> fleets = new ArrayList<>();
    for (long seed = 1; seed <= 5; seed++) {
      fleets.add(new Object[] {seed, 9, 3, 50, 1.9});
      fleets.add(new Object[] {seed, 9, 3, 50, 6.0});
      fleets.add(new Object[] {seed, 9, 10, 70, 0.3});
      fleets.add(new Object[] {seed, 9, 10, 70, 11.3});
      fleets.add(new Object[] {seed, 91, 3, 70, 1.8});
      fleets.add(new Object[] {seed, 91, 40, 600, 4.0});
    }
    fleets.add(new Object[] {1L, 420, 3, 300, 1.8});
    fleets.add(new Object[] {1L, 420, 100, 2_500, 6.0});
    return fleets.toArray(Object[][]::new);
  }

  private static double allowed(double limit) {
    return 1.5 * limit * WINDOW_MS / 1_000 + 5;
  }

  /** No target gets more than its limit allows, and at least 0.7 of what it takes is used. */
  @Test(dataProvider = "fleets")
  public void limitsAreKeptAndUsed(
      long seed, int vms, int targets, int requestsPerSecond, double limit) {
    Site site = new Site(seed, vms, targets, limit);
    site.play(20_000, requestsPerSecond);
    site.assertLimitsKept(CONTACT_WINDOW_MS, 20_000);
    double usable = Math.min(targets * limit, requestsPerSecond) * 15;
    long used = site.sentBetween(5_000, 20_000);
    assertTrue(used >= 0.7 * usable, used + " requests of " + usable + " were sent");
  }

  /** Without a leader, each VM keeps to a part of its share. */
  @Test(dataProvider = "fleets")
  public void limitsAreKeptWithoutLeader(
      long seed, int vms, int targets, int requestsPerSecond, double limit) {
    Site site = new Site(seed, vms, targets, limit);
    site.leaderUntil(0);
    site.play(30_000, requestsPerSecond);
    site.assertLimitsKept(CONTACT_WINDOW_MS, 30_000);
  }

  /** While the leader changes, the permits of both together stay within the limits. */
  @Test(dataProvider = "fleets")
  public void limitsAreKeptWhileLeaderChanges(
      long seed, int vms, int targets, int requestsPerSecond, double limit) {
    Site site = new Site(seed, vms, targets, limit);
    site.replaceLeaderAt(List.of(6_000L, 9_100L, 9_600L, 14_000L));
    site.play(20_000, requestsPerSecond);
    site.assertLimitsKept(CONTACT_WINDOW_MS, 20_000);
  }

  /** VMs, targets and a leader that exchange messages; times are milliseconds since the start. */
  private static final class Site {
    private static final int MAX_DELAY_MS = 20;
    private static final int REPORT_MS = 250;

    private final Random random;
    private final double limit;
    private final Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    private final List<TargetStatement> targets = new ArrayList<>();
    private final List<SendPermissions> vms = new ArrayList<>();
    private final List<DemandMeter> demand = new ArrayList<>();
    private final Map<String, List<Long>> sentAt = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final RateLimits limits = new RateLimits();
    private PermitIssuer leader;
    private long leaderUntil = Long.MAX_VALUE;
    private long now;

    private record Event(long at, long number, Runnable run) implements Comparable<Event> {
      @Override
      public int compareTo(Event other) {
        return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
      }
    }

    private long nextNumber() {
      return ++number;
    }

    private long number;

    Site(long seed, int vmCount, int targetCount, double limit) {
      this.random = new Random(seed);
      this.limit = limit;
      this.leader = new PermitIssuer(random, nanos(-10_000));
      for (int i = 0; i < targetCount; i++) {
        TargetStatement target =
            new TargetStatement("t" + i, "s", "h:" + i, "a", 8, Phase.READY, "", null, 1, 1);
        targets.add(target);
        fleet.recordStatement(target, 0);
        sentAt.put(target.id(), new ArrayList<>());
      }
      for (int i = 0; i < vmCount; i++) {
        vms.add(new SendPermissions(random));
        demand.add(new DemandMeter());
        int vm = i;
        at(random.nextInt(REPORT_MS), () -> report(vm));
      }
      at(random.nextInt(REPORT_MS), this::grant);
    }

    private static long nanos(long millis) {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void at(long time, Runnable run) {
      events.add(new Event(time, nextNumber(), run));
    }

    private void later(Runnable run) {
      at(now + 1 + random.nextInt(MAX_DELAY_MS), run);
    }

    void leaderUntil(long millis) {
      leaderUntil = millis;
    }

    void replaceLeaderAt(List<Long> times) {
      times.forEach(time -> at(time, () -> leader = new PermitIssuer(random, nanos(now))));
    }

    private boolean hasLeader() {
      return now < leaderUntil;
    }

    private void report(int vm) {
      at(now + REPORT_MS, () -> report(vm));
      if (vms.get(vm).hasLimits()) {
        Map<String, Double> rates = demand.get(vm).rates(nanos(now));
        List<Permits.Closed> closed = vms.get(vm).takeClosed(nanos(now));
        later(() -> leader.recordDemand("vm" + vm, rates, closed, nanos(now)));
      }
    }

    private void grant() {
      at(now + REPORT_MS, this::grant);
      if (!hasLeader() || limits.limited().isEmpty()) {
        return;
      }
      Map<String, List<Permits.Grant>> grants = leader.grant(limits, fleet, nanos(now));
      for (int i = 0; i < vms.size(); i++) {
        int vm = i;
        List<Permits.Grant> own = grants.getOrDefault("vm" + vm, List.of());
        later(() -> vms.get(vm).receive(own, nanos(now)));
      }
    }

    private void answer(int vm, TargetStatement target, long requestSentAt) {
      vms.get(vm)
          .recordAnswer(target, new RateStatement.Limited(limit), nanos(requestSentAt), nanos(now))
          .ifPresent(changed -> later(() -> publish(changed)));
    }

    private void publish(RateLimit changed) {
      if (limits.merge(changed)) {
        vms.forEach(vm -> later(() -> vm.record(changed, nanos(now))));
      }
    }

    private void request(int vm) {
      demand.get(vm).record("s", nanos(now));
      List<TargetStatement> open =
          targets.stream()
              .filter(target -> vms.get(vm).maySend(target, vms.size(), nanos(now)))
              .toList();
      if (open.isEmpty()) {
        return;
      }
      TargetStatement target = open.get(random.nextInt(open.size()));
      vms.get(vm).recordSent(target, vms.size(), nanos(now));
      sentAt.get(target.id()).add(now);
      long requestSentAt = now;
      later(() -> answer(vm, target, requestSentAt));
    }

    void play(long millis, int requestsPerSecond) {
      for (long i = 0; i < millis * requestsPerSecond / 1_000; i++) {
        // Callers are spread unevenly: some VMs get twice as many requests as others.
        int vm = Math.min(random.nextInt(vms.size()), random.nextInt(vms.size() * 2));
        at((long) (random.nextDouble() * millis), () -> request(vm));
      }
      while (!events.isEmpty() && events.peek().at() < millis) {
        Event next = events.remove();
        now = next.at();
        next.run().run();
      }
    }

    void assertLimitsKept(long from, long to) {
      sentAt.forEach(
          (target, times) -> {
            for (int first = 0, last = 0; last < times.size(); last++) {
              while (times.get(first) < from || times.get(last) - times.get(first) > WINDOW_MS) {
                if (first == last) {
                  break;
                }
                first++;
              }
              boolean counts = times.get(first) >= from && times.get(last) < to;
              assertTrue(
                  !counts || last - first + 1 <= allowed(limit),
                  target + " got " + (last - first + 1) + " requests from ms " + times.get(first));
            }
          });
    }

    long sentBetween(long from, long to) {
      return sentAt.values().stream()
          .flatMap(List::stream)
          .filter(at -> at >= from && at < to)
          .count();
    }
  }
}
