package org.clementinesail.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.clementinesail.core.load.FleetLoad;
import org.jspecify.annotations.Nullable;

/**
 * The requests of one service that wait for a target on one VM: decides which one is next, which
 * ones wait and which ones are refused. All times are nanoseconds of one monotonic clock.
 *
 * <p>Ranks come first; within a rank the shares of workspaces, routes and subjects; then the
 * earliest deadline. A rank that is served much less often than all precedes the others.
 */
public final class AdmissionQueue {
  /** A longer queue drains on no VM in the time that a request may wait, and holds memory. */
  private static final int MAX_LENGTH = 256;

  /**
   * Least served part of a rank, relative to that of all requests. No kind of request may be served
   * less than a quarter as often as all; the margin covers the shares within a rank.
   */
  private static final double LEAST_OF_ALL = 0.4;

  /** Fewer requests that were admitted or refused do not show that a rank is starved. */
  private static final double LEAST_DECIDED = 2;

  /** Part of this VM's requests that get targets for which others wait at other VMs. */
  private static final double HELD_BACK_SHARE = 0.125;

  private static final double LEAST_HELD_BACK_NANOS = 1_000_000_000L;
  private static final double MOST_HELD_BACK_NANOS = 4_000_000_000L;

  /** Window of the served requests in {@link Shares}. */
  private static final double SHARES_NANOS = 10_000_000_000L;

  /** How long a refusal by a target tells that targets which seem to have room have none. */
  private static final long REFUSAL_NANOS = 250_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private static final double MAX_WAIT_SECONDS = 10;

  private final String service;
  private final Map<Long, WaitingRequest> waiting = new LinkedHashMap<>();
  private final int[] counts = new int[RequestRank.COUNT];
  private final Shares[] shares = new Shares[RequestRank.COUNT];
  private final long[] admittedAt = new long[RequestRank.COUNT];
  private final boolean[] everAdmitted = new boolean[RequestRank.COUNT];
  private final DrainRate drain = new DrainRate();
  private boolean returned;
  private long returnedAt;

  /** What becomes of a request that finds no target. */
  public sealed interface Offer {}

  /**
   * The request waits.
   *
   * @param displaced less urgent request that it displaces, which is refused, or null
   */
  public record Accepted(@Nullable WaitingRequest displaced) implements Offer {}

  /**
   * The request is refused at once.
   *
   * @param reason description for the log
   */
  public record Refused(String reason) implements Offer {}

  /**
   * Creates an empty queue.
   *
   * @param service name of the service
   */
  public AdmissionQueue(String service) {
    this.service = service;
    for (int rank = 0; rank < RequestRank.COUNT; rank++) {
      shares[rank] = new Shares();
    }
  }

  /** Returns the number of waiting requests by rank. */
  public int[] waitingByRank() {
    return counts.clone();
  }

  /** Returns the name of the service. */
  public String service() {
    return service;
  }

  /** Returns the number of waiting requests. */
  public int length() {
    return waiting.size();
  }

  /**
   * Records a new request, whether it will wait or not.
   *
   * @param request the request
   * @param now current time
   */
  public void recordOffered(WaitingRequest request, long now) {
    shares[request.rank()].recordOffered(request, now);
  }

  /**
   * Returns whether a new request may look for a target at once: none that is at least as urgent
   * and none of a starved rank waits here, and none that is more urgent waits at other VMs.
   *
   * @param request the request
   * @param load load of all VMs together
   * @param now current time
   */
  public boolean mayStart(WaitingRequest request, FleetLoad load, long now) {
    for (int rank = 0; rank <= request.rank(); rank++) {
      if (counts[rank] > 0) {
        return false;
      }
    }
    return !hasStarved(now) && !isHeldBack(request.rank(), load, now);
  }

  /**
   * Returns whether a request waits whose rank is served much less often than all requests.
   *
   * @param now current time
   */
  public boolean hasStarved(long now) {
    for (int rank = 0; rank < RequestRank.COUNT; rank++) {
      if (counts[rank] > 0 && isStarved(rank, now)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds a request that found no target or may not look for one yet, or refuses it.
   *
   * @param request the request
   * @param now current time
   */
  public Offer offer(WaitingRequest request, long now) {
    OptionalDouble expected = expectedSeconds(request, now);
    double left = (request.waitUntil() - now) / NANOS_PER_SECOND;
    if (expected.isPresent() && expected.getAsDouble() > left) {
      return new Refused("the queue does not get to the request in time");
    }
    WaitingRequest displaced = null;
    if (waiting.size() >= MAX_LENGTH) {
      displaced = last().filter(other -> other.rank() > request.rank()).orElse(null);
      if (displaced == null) {
        return new Refused("the queue is full");
      }
      remove(displaced, now);
    }
    waiting.put(request.id(), request);
    counts[request.rank()]++;
    drain.recordWaiting(true, now);
    return new Accepted(displaced);
  }

  private Optional<WaitingRequest> last() {
    return waiting.values().stream()
        .max(
            Comparator.comparingInt(WaitingRequest::rank)
                .thenComparing((a, b) -> Long.signum(a.deadline() - b.deadline())));
  }

  /**
   * Removes a request that waits no more; does nothing if it does not wait.
   *
   * @param request the request
   * @param now current time
   */
  public void remove(WaitingRequest request, long now) {
    if (waiting.remove(request.id()) != null) {
      counts[request.rank()]--;
      drain.recordWaiting(!waiting.isEmpty(), now);
    }
  }

  /**
   * Records that a request got a target.
   *
   * @param request the request, which has been removed if it waited
   * @param waited whether it has waited
   * @param now current time
   */
  public void recordAdmitted(WaitingRequest request, boolean waited, long now) {
    int rank = request.rank();
    shares[rank].recordServed(request, 1, now);
    admittedAt[rank] = now;
    everAdmitted[rank] = true;
    if (waited || !waiting.isEmpty()) {
      drain.recordAdmitted(rank, 1, now);
    }
  }

  /**
   * Takes back an admission: the target refused the request, or could not be reached.
   *
   * @param request the request
   * @param waited whether it had waited when it was admitted
   * @param now current time
   */
  public void recordReturned(WaitingRequest request, boolean waited, long now) {
    returned = true;
    returnedAt = now;
    shares[request.rank()].recordServed(request, -1, now);
    if (waited || !waiting.isEmpty()) {
      drain.recordAdmitted(request.rank(), -1, now);
    }
  }

  /**
   * Returns the request that is to look for a target next, or empty if none is. After a refusal the
   * targets may be full although this VM cannot see it: then one request looks for a target for
   * each that has ended, and at least one in each pass.
   *
   * @param pass what this look at the queue has found so far
   * @param load load of all VMs together
   * @param now current time
   */
  public Optional<WaitingRequest> next(QueuePass pass, FleetLoad load, long now) {
    boolean targetsFull = returned && now - returnedAt <= REFUSAL_NANOS;
    if (targetsFull && !pass.mayRelease()) {
      return Optional.empty();
    }
    List<Integer> ranks = new ArrayList<>();
    List<Integer> others = new ArrayList<>();
    for (int rank = 0; rank < RequestRank.COUNT; rank++) {
      if (counts[rank] > 0) {
        (isStarved(rank, now) ? ranks : others).add(rank);
      }
    }
    ranks.addAll(others);
    for (int rank : ranks) {
      Optional<WaitingRequest> first = firstOf(rank, pass, now);
      if (first.isPresent() && !isHeldBack(rank, load, now)) {
        return first;
      }
    }
    return Optional.empty();
  }

  private Optional<WaitingRequest> firstOf(int rank, QueuePass pass, long now) {
    WaitingRequest best = null;
    double bestPlace = 0;
    for (WaitingRequest request : waiting.values()) {
      if (request.rank() != rank || request.isOver(now) || !pass.allows(request)) {
        continue;
      }
      double place = shares[rank].place(request, now);
      boolean earlier = best != null && request.deadline() - best.deadline() < 0;
      if (best == null || place < bestPlace || (place == bestPlace && earlier)) {
        best = request;
        bestPlace = place;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether a rank is served much less often than all requests are. */
  private boolean isStarved(int rank, long now) {
    double offered = 0;
    double served = 0;
    for (Shares other : shares) {
      offered += other.offered(now);
      served += other.served(now);
    }
    // A waiting request has not been denied anything yet, and one or two tell nothing of a rate.
    double own = shares[rank].offered(now) - counts[rank];
    return own >= LEAST_DECIDED && shares[rank].served(now) / own < LEAST_OF_ALL * served / offered;
  }

  /** Returns whether a rank leaves the targets to more urgent requests at other VMs. */
  private boolean isHeldBack(int rank, FleetLoad load, long now) {
    if (!load.isFresh(now) || !everAdmitted[rank] || isStarved(rank, now)) {
      return false;
    }
    double served = 0;
    for (Shares other : shares) {
      served += other.served(now);
    }
    double pause = served == 0 ? MOST_HELD_BACK_NANOS : SHARES_NANOS / served / HELD_BACK_SHARE;
    pause = Math.max(LEAST_HELD_BACK_NANOS, Math.min(MOST_HELD_BACK_NANOS, pause));
    int urgent = 0;
    for (int other = 0; other < rank; other++) {
      urgent += Math.max(0, load.waiting(service, other) - counts[other]);
    }
    // A few urgent requests need the targets of a few VMs, not of all for the whole time.
    double part = Math.min(1, (double) urgent / load.reportingVms());
    return now - admittedAt[rank] < pause * part;
  }

  /**
   * Returns how long a request would wait, in seconds, or empty if nothing waits or the rate at
   * which the queue drains is not known.
   *
   * @param request the request, waiting or not
   * @param now current time
   */
  public OptionalDouble expectedSeconds(WaitingRequest request, long now) {
    OptionalDouble total = drain.perSecond(-1, now);
    if (waiting.isEmpty() || total.isEmpty()) {
      return OptionalDouble.empty();
    }
    double place = shares[request.rank()].place(request, now);
    int moreUrgent = 0;
    int before = 1;
    for (WaitingRequest other : waiting.values()) {
      if (other.rank() < request.rank()) {
        moreUrgent++;
      } else if (other.rank() == request.rank() && precedes(other, request, place, now)) {
        before++;
      }
    }
    double all = total.getAsDouble();
    double left = drain.perSecond(request.rank(), now).orElse(all);
    // A rank gets its guaranteed part even if the more urgent ones take all, and all while starved.
    double part = isStarved(request.rank(), now) ? 1 : LEAST_OF_ALL * partOfRank(request, now);
    double seconds = Math.min(moreUrgent / all + before / left, before / (all * part));
    return OptionalDouble.of(Math.min(MAX_WAIT_SECONDS, seconds));
  }

  private boolean precedes(WaitingRequest other, WaitingRequest request, double place, long now) {
    if (other.id() == request.id()) {
      return false;
    }
    double otherPlace = shares[request.rank()].place(other, now);
    return otherPlace < place
        || (otherPlace == place && other.deadline() - request.deadline() <= 0);
  }

  private double partOfRank(WaitingRequest request, long now) {
    double offered = 0;
    for (Shares other : shares) {
      offered += other.offered(now);
    }
    return offered == 0 ? 1 : shares[request.rank()].offered(now) / offered;
  }
}
