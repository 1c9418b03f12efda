package org.clementinesail.core.fleet;

import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * What a target last said of itself.
 *
 * @param id identity of one start of the target, or of the target where it starts again under it
 * @param service service that it belongs to
 * @param address IP number and port
 * @param dataCentre data centre that it stands in
 * @param slots requests that it runs at once
 * @param phase whether it takes new work
 * @param accelerator kind of its accelerator, or empty
 * @param layers layers that it holds, or null if none
 * @param startedAtMillis wall-clock time of its start, by its own clock; 0 if it does not say
 * @param sequence rises with each statement of one start
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

  /** Whether a target takes new work. */
  public enum Phase {
    /** It takes new work. */
    READY,
    /** It finishes what it has and takes nothing new. */
    DRAINING,
    /** It has said goodbye. */
    GONE
  }

  /**
   * Returns whether this statement replaces another about the same target. Within one start a
   * target never comes back from leaving.
   *
   * @param other the statement held
   */
  public boolean supersedes(TargetStatement other) {
    if (startedAtMillis != other.startedAtMillis) {
      return startedAtMillis > other.startedAtMillis;
    }
    if (phase != other.phase) {
      return phase.compareTo(other.phase) > 0;
    }
    return sequence > other.sequence;
  }

  /**
   * Returns the goodbye of a target of which nothing else is known.
   *
   * @param id identity of the target
   */
  public static TargetStatement deregistered(String id) {
    return new TargetStatement(id, "", "", "", 0, Phase.GONE, "", null, 0, 0);
  }

  /**
   * Returns this statement with another phase.
   *
   * @param next the phase
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
}
