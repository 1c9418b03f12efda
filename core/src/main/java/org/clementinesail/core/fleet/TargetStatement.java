package org.clementinesail.core.fleet;

import java.util.List;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * What a target states about itself in a heartbeat or when it leaves.
 *
 * @param id identity of the target; a restarted target keeps it or gets a new one
 * @param service service that it belongs to
 * @param address IP address and port
 * @param dataCentre data centre of the target
 * @param slots number of requests that it can run at once
 * @param phase whether it takes new work
 * @param accelerator kind of its accelerator, or an empty string if it has none
 * @param layers layers that it holds, or null if none
 * @param startedAtMillis start of the target in milliseconds of its own wall clock; 0 if unknown
 * @param sequence number that rises with each statement since the start
 */
public record TargetStatement(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    Phase phase,
    String accelerator,
    @Nullable LayerRange layers,
    long startedAtMillis,
    long sequence) {

  /** Whether a target takes new work. The phase only moves forward until the target restarts. */
  public enum Phase {
    /** It takes new work. */
    READY,
    /** It finishes its requests and takes no new ones. */
    DRAINING,
    /** It has deregistered. */
    GONE
  }

  /**
   * A statement that arrives late, by seconds, is at most some numbers behind. One that is further
   * behind follows a number that the target did not count up to.
   */
  private static final long MAX_LATE_STATEMENTS = 10_000;

  /**
   * Returns whether this statement replaces another of the same target. A later start wins, then a
   * later phase, then a higher sequence: a target that drains takes new work only after a restart.
   *
   * <p>Between two starts the service and the address stay the same; a statement that changes them
   * is not the target's own and replaces nothing. Nor does a sequence far ahead of the target's own
   * keep these from replacing it.
   *
   * @param other the statement recorded so far
   */
  public boolean supersedes(TargetStatement other) {
    if (startedAtMillis != other.startedAtMillis) {
      return startedAtMillis > other.startedAtMillis;
    }
    if (phase != Phase.GONE && startedAtMillis != 0 && !sameEndpoint(other)) {
      return false;
    }
    if (phase != other.phase) {
      return phase.compareTo(other.phase) > 0;
    }
    return sequence > other.sequence || other.sequence - sequence > MAX_LATE_STATEMENTS;
  }

  private boolean sameEndpoint(TargetStatement other) {
    return address.equals(other.address) && service.equals(other.service);
  }

  /**
   * Returns the statement of a target that has deregistered and of which only the identity is
   * known.
   *
   * @param id identity of the target
   */
  public static TargetStatement deregistered(String id) {
    return deregistered(id, 0, 0);
  }

  /**
   * Returns the statement of a target that has deregistered. It applies to the lifetime with the
   * given start only.
   *
   * @param id identity of the target
   * @param startedAtMillis start of the target in milliseconds of its own wall clock; 0 if unknown,
   *     for the lifetime that is known when the statement arrives
   * @param sequence number of the statement; 0 if unknown
   */
  public static TargetStatement deregistered(String id, long startedAtMillis, long sequence) {
    return new TargetStatement(id, "", "", "", 0, Phase.GONE, "", null, startedAtMillis, sequence);
  }

  /**
   * Returns a copy of this statement with another phase.
   *
   * @param next phase of the copy
   */
  public TargetStatement withPhase(Phase next) {
    return new TargetStatement(
        id,
        service,
        address,
        dataCentre,
        slots,
        next,
        accelerator,
        layers,
        startedAtMillis,
        sequence);
  }

  /**
   * Returns a copy of this statement with another sequence.
   *
   * @param next sequence of the copy
   */
  public TargetStatement withSequence(long next) {
    return new TargetStatement(
        id, service, address, dataCentre, slots, phase, accelerator, layers, startedAtMillis, next);
  }

  /**
   * Returns a hash of all components except the sequence. VMs of different builds compare it, so it
   * must not change: a component that is added later is left out while it has its default.
   */
  public long digest() {
    long hash = StatementDigest.start();
    for (String text : List.of(id, service, address, dataCentre, accelerator)) {
      hash = StatementDigest.add(hash, text);
    }
    hash = StatementDigest.add(hash, slots);
    hash = StatementDigest.add(hash, phase.name());
    hash = StatementDigest.add(hash, layers == null ? 0 : layers.from());
    hash = StatementDigest.add(hash, layers == null ? 0 : layers.to());
    return StatementDigest.add(hash, startedAtMillis);
  }
}
