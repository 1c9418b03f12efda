package org.clementinesail.core.ratelimits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.ratelimits.Permits.Closed;
import org.clementinesail.core.ratelimits.Permits.Grant;
import org.clementinesail.core.ratelimits.Permits.Held;
import org.clementinesail.core.ratelimits.Permits.Stock;

/**
 * Decides whether this VM may send a request to a target that limits its rate.
 *
 * <p>The control VM that leads grants permits to the VMs by their demand. A VM without contact to
 * it permits itself half of its even share of the limit, at times of its own. The class is not
 * thread-safe.
 */
public final class SendPermissions {
  /** Time after a limit is first known in which the first permits arrive. */
  private static final long FIRST_GRANT_NANOS = 400_000_000L;

  /** Time without a message of the leader after which this VM permits itself requests. */
  private static final long CONTACT_NANOS = 3_000_000_000L;

  /** Part of the even share that a VM without contact permits itself. */
  private static final double OWN_SHARE = 0.5;

  private static final double NANOS_PER_SECOND = 1e9;

  private final RateLimits limits = new RateLimits();
  private final Map<String, Stock> stocks = new HashMap<>();
  private final Map<String, OwnPermits> ownPermits = new HashMap<>();
  private final Map<String, Long> limitedSince = new HashMap<>();
  private final RandomGenerator random;
  private List<Closed> closed = new ArrayList<>();
  private boolean hadContact;
  private long contactAt;

  /**
   * Creates permissions without limits.
   *
   * @param random random times at which a VM without contact permits itself requests
   */
  public SendPermissions(RandomGenerator random) {
    this.random = random;
  }

  /** One permit at a time, which a VM without contact gives itself at regular intervals. */
  private static final class OwnPermits {
    long nextAt;
    long expiresAt;
    boolean available;

    OwnPermits(long nextAt) {
      this.nextAt = nextAt;
    }

    void update(double intervalNanos, long now) {
      if (now - nextAt >= 0) {
        long missed = (long) ((now - nextAt) / intervalNanos);
        long latest = nextAt + (long) (missed * intervalNanos);
        available = true;
        expiresAt = latest + Permits.LIFETIME_NANOS;
        nextAt = latest + (long) intervalNanos;
      }
      available = available && now - expiresAt < 0;
    }
  }

  /**
   * Records a target's limit, or that it has ended.
   *
   * @param limit the record, of this VM or another
   * @param now current time in nanoseconds of the monotonic clock
   * @return whether the limit of the target has changed
   */
  public boolean record(RateLimit limit, long now) {
    boolean changed = limits.merge(limit);
    if (changed && limit.limited()) {
      limitedSince.putIfAbsent(limit.target(), now);
    } else if (changed) {
      limitedSince.remove(limit.target());
      ownPermits.remove(limit.target());
    }
    return changed;
  }

  /**
   * Records what an answer states about its target's limit.
   *
   * @param target the target
   * @param statement what the answer states
   * @param sentAt when its request was sent, in nanoseconds of the monotonic clock
   * @param now current time on the same clock
   * @return the new record if the limit has changed
   */
  public Optional<RateLimit> recordAnswer(
      TargetStatement target, RateStatement statement, long sentAt, long now) {
    RateLimit limit;
    if (statement instanceof RateStatement.Limited limited) {
      limit = new RateLimit(target.id(), target.startedAtMillis(), true, limited.perSecond(), now);
    } else if (statement instanceof RateStatement.Unlimited) {
      limit = new RateLimit(target.id(), target.startedAtMillis(), false, 0, sentAt);
    } else {
      return Optional.empty();
    }
    return record(limit, now) ? Optional.of(limit) : Optional.empty();
  }

  /**
   * Forgets the limits of targets that are gone.
   *
   * @param isKnown whether a target is still known
   */
  public void removeUnknown(Predicate<String> isKnown) {
    limits.removeUnknown(isKnown);
    limitedSince.keySet().removeIf(isKnown.negate());
    ownPermits.keySet().removeIf(isKnown.negate());
  }

  /** Returns whether any target has named a limit that has not ended. */
  public boolean hasLimits() {
    return !limitedSince.isEmpty();
  }

  /** Returns all records, for a control VM that has just connected. */
  public List<RateLimit> records() {
    return limits.records();
  }

  /**
   * Adds the permits of a grant.
   *
   * @param grants permits of the leader; may be empty
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void receive(List<Grant> grants, long now) {
    hadContact = true;
    contactAt = now;
    for (Grant grant : grants) {
      stocks
          .computeIfAbsent(grant.target(), key -> new Stock())
          .add(new Held(grant, now + Permits.LIFETIME_NANOS));
    }
  }

  /**
   * Returns whether a request may be sent to a target now.
   *
   * @param target the target
   * @param vms number of VMs that send requests
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean maySend(TargetStatement target, int vms, long now) {
    Optional<RateLimit> limit = limitInForce(target, now);
    return limit.isEmpty()
        || stock(target, now).hasPermit(target.startedAtMillis())
        || ownPermit(limit.get(), vms, now).map(own -> own.available).orElse(false);
  }

  /**
   * Records that a request is sent to a target, which uses a permit if the target has a limit.
   *
   * @param target the target
   * @param vms number of VMs that send requests
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordSent(TargetStatement target, int vms, long now) {
    Optional<RateLimit> limit = limitInForce(target, now);
    if (limit.isPresent() && !stock(target, now).take(target.startedAtMillis(), closed)) {
      ownPermit(limit.get(), vms, now).ifPresent(own -> own.available = false);
    }
  }

  /**
   * Returns the requests per second that a target takes from all VMs together; empty if it has no
   * limit.
   *
   * @param target the target
   */
  public Optional<Double> limitPerSecond(TargetStatement target) {
    return limits.limit(target.id(), target.startedAtMillis()).map(RateLimit::permitsPerSecond);
  }

  /**
   * Removes expired grants, and returns the grants that were used up or have expired since the last
   * call.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public List<Closed> takeClosed(long now) {
    stocks.values().forEach(stock -> stock.expire(now, closed));
    stocks.values().removeIf(Stock::isEmpty);
    List<Closed> taken = closed;
    closed = new ArrayList<>();
    return taken;
  }

  private Optional<RateLimit> limitInForce(TargetStatement target, long now) {
    Long since = limitedSince.get(target.id());
    boolean inForce = since != null && (now - since >= FIRST_GRANT_NANOS || hasContact(now));
    return inForce ? limits.limit(target.id(), target.startedAtMillis()) : Optional.empty();
  }

  /**
   * Returns whether the control VM that leads has sent a message lately.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean hasContact(long now) {
    return hadContact && now - contactAt < CONTACT_NANOS;
  }

  private Stock stock(TargetStatement target, long now) {
    Stock stock = stocks.computeIfAbsent(target.id(), key -> new Stock());
    stock.expire(now, closed);
    return stock;
  }

  private Optional<OwnPermits> ownPermit(RateLimit limit, int vms, long now) {
    if (hasContact(now)) {
      return Optional.empty();
    }
    double intervalNanos = NANOS_PER_SECOND * vms / limit.permitsPerSecond() / OWN_SHARE;
    OwnPermits own =
        ownPermits.computeIfAbsent(
            limit.target(),
            key -> new OwnPermits(now + (long) (random.nextDouble() * intervalNanos)));
    own.update(intervalNanos, now);
    return Optional.of(own);
  }
}
