package org.clementinesail.core.ratelimits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.ratelimits.Permits.Closed;
import org.clementinesail.core.ratelimits.Permits.Grant;
import org.jspecify.annotations.Nullable;

/**
 * Grants permits for targets that limit their rate to the VMs that send requests; runs on the
 * control VM that leads.
 *
 * <p>Permits accrue at the rate of the limit. Those that are not used yet, granted or not, are at
 * most {@link #MAX_STOCK_SECONDS} worth of the limit and {@link #MIN_STOCK}; a grant that expires
 * unused is granted again. In any span of t seconds a target therefore gets at most its limit times
 * (t + 1.5), and 2 requests. The class is not thread-safe.
 */
public final class PermitIssuer {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MAX_STOCK_SECONDS = 1.5;
  private static final double MIN_STOCK = 2;

  /** Permits that are due at once are divided into about this many parts at most. */
  private static final int MAX_DRAWS = 200;

  /** Age at which a report of demand says nothing any more. */
  private static final long DEMAND_VALID_NANOS = 2_000_000_000L;

  /** Time until a grant whose end was not reported counts as used. */
  private static final long MAX_OPEN_NANOS = 2 * Permits.LIFETIME_NANOS;

  private record Demand(Map<String, Double> perSecond, long receivedAt) {}

  private record Outstanding(Bucket bucket, String vm, int count, long grantedAt) {}

  /** The permits of one start of a target. */
  private static final class Bucket {
    final long startedAtMillis;
    double permits;
    long refilledAt;
    int outstanding;
    final Map<String, Integer> outstandingByVm = new HashMap<>();

    Bucket(long startedAtMillis, long refilledAt) {
      this.startedAtMillis = startedAtMillis;
      this.refilledAt = refilledAt;
    }

    void refill(double perSecond, long now) {
      double elapsed = Math.max(0, now - refilledAt) / NANOS_PER_SECOND;
      double most = Math.max(0, MAX_STOCK_SECONDS * perSecond + MIN_STOCK - outstanding);
      permits = Math.min(most, permits + elapsed * perSecond);
      if (now - refilledAt > 0) {
        refilledAt = now;
      }
    }

    void add(String vm, int count) {
      outstanding += count;
      outstandingByVm.merge(vm, count, (a, b) -> a + b == 0 ? null : a + b);
    }
  }

  private final RandomGenerator random;
  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, Demand> demands = new HashMap<>();
  private final Map<Long, Outstanding> open = new LinkedHashMap<>();
  private long nextGrantId;
  private long grantsFrom;

  /**
   * Creates an issuer, which grants nothing until the permits of an earlier leader have expired.
   *
   * @param random draws the VMs that get permits, and the first number of a grant
   * @param now current time in nanoseconds of the monotonic clock
   */
  public PermitIssuer(RandomGenerator random, long now) {
    this.random = random;
    this.nextGrantId = random.nextLong() >>> 1;
    this.grantsFrom = now + Permits.LIFETIME_NANOS;
  }

  /**
   * Records what a VM needs.
   *
   * @param vm name of the VM
   * @param perSecond requests per second by service
   * @param closed its grants that are used up or have expired
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordDemand(
      String vm, Map<String, Double> perSecond, Collection<Closed> closed, long now) {
    demands.put(vm, new Demand(Map.copyOf(perSecond), now));
    for (Closed grant : closed) {
      close(grant.id(), grant.unused());
    }
  }

  private void close(long id, int unused) {
    Outstanding grant = open.remove(id);
    if (grant != null) {
      grant.bucket().add(grant.vm(), -grant.count());
      grant.bucket().permits += Math.max(0, Math.min(unused, grant.count()));
    }
  }

  /**
   * Returns the permits that are due, by VM.
   *
   * @param limits limits in force
   * @param fleet the targets
   * @param now current time in nanoseconds of the monotonic clock
   */
  public Map<String, List<Grant>> grant(RateLimits limits, Fleet fleet, long now) {
    demands.values().removeIf(demand -> now - demand.receivedAt() > DEMAND_VALID_NANOS);
    closeForgotten(now);
    Map<String, List<Grant>> grants = new HashMap<>();
    Collection<RateLimit> limited = limits.limited();
    buckets.keySet().removeIf(id -> limited.stream().noneMatch(l -> l.target().equals(id)));
    for (RateLimit limit : limited) {
      fleet
          .member(limit.target())
          .map(Fleet.Member::statement)
          .filter(target -> target.startedAtMillis() == limit.startedAtMillis())
          .ifPresent(target -> grant(target, limit.permitsPerSecond(), grants, now));
    }
    return grants;
  }

  private void closeForgotten(long now) {
    List<Long> forgotten = new ArrayList<>();
    Iterator<Map.Entry<Long, Outstanding>> oldest = open.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<Long, Outstanding> grant = oldest.next();
      if (now - grant.getValue().grantedAt() < MAX_OPEN_NANOS) {
        break;
      }
      forgotten.add(grant.getKey());
    }
    forgotten.forEach(id -> close(id, 0));
  }

  private void grant(
      TargetStatement target, double perSecond, Map<String, List<Grant>> grants, long now) {
    Bucket bucket = bucket(target, now);
    bucket.refill(perSecond, now);
    Map<String, Integer> counts = new HashMap<>();
    while (bucket.permits >= 1) {
      String vm = draw(target.service(), bucket);
      if (vm == null) {
        break;
      }
      int count = Math.max(1, (int) (bucket.permits / MAX_DRAWS));
      bucket.permits -= count;
      bucket.add(vm, count);
      counts.merge(vm, count, Integer::sum);
    }
    counts.forEach(
        (vm, count) -> {
          long id = nextGrantId++;
          open.put(id, new Outstanding(bucket, vm, count, now));
          grants
              .computeIfAbsent(vm, key -> new ArrayList<>())
              .add(new Grant(id, target.id(), target.startedAtMillis(), count));
        });
  }

  private Bucket bucket(TargetStatement target, long now) {
    Bucket known = buckets.get(target.id());
    if (known != null && known.startedAtMillis == target.startedAtMillis()) {
      return known;
    }
    long refilledAt = now - grantsFrom < 0 ? grantsFrom : now;
    Bucket created = new Bucket(target.startedAtMillis(), refilledAt);
    buckets.put(target.id(), created);
    return created;
  }

  /**
   * Draws a VM with a probability that grows with its demand and falls with the permits that it has
   * not used; null if no VM has demand.
   */
  private @Nullable String draw(String service, Bucket bucket) {
    double total = 0;
    String drawn = null;
    for (Map.Entry<String, Demand> entry : demands.entrySet()) {
      double demand = entry.getValue().perSecond().getOrDefault(service, 0.0);
      if (demand > 0) {
        int held = bucket.outstandingByVm.getOrDefault(entry.getKey(), 0);
        double weight = demand / ((1.0 + held) * (1.0 + held));
        total += weight;
        if (random.nextDouble() * total < weight) {
          drawn = entry.getKey();
        }
      }
    }
    return drawn;
  }
}
