package org.clementinesail.core.reachability;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;

/**
 * Decides whether this VM reaches any target of a service.
 *
 * <p>A fault of one target, or its silence, says nothing about the others. Therefore a VM that
 * suspects its links connects to several targets at once, and is cut off from the service if none
 * of them accepts. While it is cut off, it repeats the check until two accept. The class is not
 * thread-safe.
 *
 * <pre>{@code
 * List<TargetStatement> targets = reachability.startCheck("s", fleet.ready("s", now), now);
 * // connect to the targets, then
 * reachability.recordCheck("s", accepted, targets.size(), now);
 * if (reachability.isCutOff("s")) { ... }
 * }</pre>
 */
public final class ServiceReachability {
  /** Number of targets that a check connects to. */
  private static final int CHECKED_TARGETS = 3;

  /** Number of targets that must accept until a VM that was cut off uses the service again. */
  private static final int MIN_ACCEPTED = 2;

  /** Shortest time between the starts of two checks of a service. */
  private static final long CHECK_INTERVAL_NANOS = 500_000_000L;

  /** Time without a byte of any target of a service after which its waiting requests are odd. */
  private static final long MAX_SILENCE_NANOS = 300_000_000L;

  /**
   * Time after a cut in which targets may still be suspect because of it; as long as a target is
   * suspect after a fault.
   */
  private static final long AFTERMATH_NANOS = 3_000_000_000L;

  private static final class State {
    boolean checked;
    boolean checking;
    long checkedAt;
    boolean cutOff;
    boolean wasCutOff;
    long reachedAgainAt;
    boolean heard;
    long heardAt;
  }

  private final Map<String, State> states = new HashMap<>();
  private final Random random;

  /**
   * Creates an instance that takes all services for reachable.
   *
   * @param random draws the targets to check
   */
  public ServiceReachability(Random random) {
    this.random = random;
  }

  private State state(String service) {
    return states.computeIfAbsent(service, key -> new State());
  }

  /**
   * Starts a check unless one is in progress or was just made.
   *
   * @param service name of the service
   * @param ready its targets that take new work
   * @param now current time in nanoseconds of the monotonic clock
   * @return the targets to connect to; empty if no check is due
   */
  public List<TargetStatement> startCheck(String service, List<Fleet.Member> ready, long now) {
    State state = state(service);
    boolean recent = state.checked && now - state.checkedAt < CHECK_INTERVAL_NANOS;
    if (state.checking || recent || ready.isEmpty()) {
      return List.of();
    }
    state.checking = true;
    state.checked = true;
    state.checkedAt = now;
    List<Fleet.Member> drawn = new ArrayList<>(ready);
    Collections.shuffle(drawn, random);
    // Targets that are not suspect come first: a check of crashed ones would mislead.
    drawn.sort((a, b) -> Boolean.compare(a.isSuspect(now), b.isSuspect(now)));
    return drawn.stream().limit(CHECKED_TARGETS).map(Fleet.Member::statement).toList();
  }

  /**
   * Records the result of a check.
   *
   * @param service name of the service
   * @param accepted number of targets that accepted a connection
   * @param checked number of targets that were checked
   * @param now current time in nanoseconds of the monotonic clock
   * @return whether this VM is now cut off from the service, or reaches it, and was not before
   */
  public boolean recordCheck(String service, int accepted, int checked, long now) {
    State state = state(service);
    state.checking = false;
    boolean before = state.cutOff;
    state.cutOff = before ? accepted < Math.min(MIN_ACCEPTED, checked) : accepted == 0;
    if (before && !state.cutOff) {
      state.wasCutOff = true;
      state.reachedAgainAt = now;
    }
    return before != state.cutOff;
  }

  /**
   * Takes a service for unreachable while it is checked, because this VM is cut off from another.
   *
   * @param service name of the service, of which a check is in progress
   */
  public void presumeCutOff(String service) {
    state(service).cutOff = true;
  }

  /**
   * Records that bytes of a target have arrived.
   *
   * @param service name of the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordHeard(String service, long now) {
    State state = state(service);
    state.heard = true;
    state.heardAt = now;
  }

  /**
   * Returns whether no target of a service has sent anything while a request to it waited.
   *
   * @param service name of the service
   * @param waitsSince when the request was sent, in nanoseconds of the monotonic clock
   * @param now current time on the same clock
   */
  public boolean isSilent(String service, long waitsSince, long now) {
    State state = state(service);
    return now - waitsSince > MAX_SILENCE_NANOS
        && (!state.heard || now - state.heardAt > MAX_SILENCE_NANOS);
  }

  /**
   * Returns whether this VM is cut off from a service.
   *
   * @param service name of the service
   */
  public boolean isCutOff(String service) {
    State state = states.get(service);
    return state != null && state.cutOff;
  }

  /** Returns the services that this VM is cut off from. */
  public List<String> cutOff() {
    return states.entrySet().stream()
        .filter(entry -> entry.getValue().cutOff)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns whether this VM is cut off from a service or was until just now, so that targets may be
   * suspect although they are sound.
   *
   * @param service name of the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  public boolean isAffected(String service, long now) {
    State state = states.get(service);
    return state != null
        && (state.cutOff || (state.wasCutOff && now - state.reachedAgainAt < AFTERMATH_NANOS));
  }
}
