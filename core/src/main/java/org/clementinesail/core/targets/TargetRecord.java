package org.clementinesail.core.targets;

/**
 * One statement about a target. Incarnation and sequence order statements; a leaving target does
 * not come back in the same incarnation.
 *
 * @param description what the target says of itself
 * @param incarnation rises with each start of the target
 * @param sequence rises with each statement within an incarnation
 * @param leaving whether the target takes no new work
 * @param load last load report
 * @param leaseDeadline when the statement lapses unless renewed, in nanoseconds of this VM's
 *     monotonic clock
 */
public record TargetRecord(
    TargetDescription description,
    long incarnation,
    long sequence,
    boolean leaving,
    TargetLoad load,
    long leaseDeadline) {

  /** Returns the name of the target. */
  public String name() {
    return description.name();
  }

  /**
   * Returns whether this statement replaces another about the same target.
   *
   * @param other the statement held
   */
  public boolean supersedes(TargetRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (leaving != other.leaving) {
      return leaving;
    }
    return sequence > other.sequence;
  }
}
