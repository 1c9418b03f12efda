package org.clementinesail.core.targets;

/**
 * The state of a target at one point. Records are ordered by incarnation and sequence number; a
 * leaving target accepts no work again in the same incarnation.
 *
 * @param description properties that the target announced
 * @param incarnation number that increases with each start of the target
 * @param sequence number that increases with each record within an incarnation
 * @param leaving whether the target accepts no new work
 * @param load newest load report
 * @param leaseDeadline when the record expires unless renewed, in nanoseconds of this VM's
 *     monotonic clock
 */
public record TargetRecord(
    TargetDescription description,
    long incarnation,
    long sequence,
    boolean leaving,
    TargetLoad load,
    long leaseDeadline) {

  /** Returns the name from the target's description. */
  public String name() {
    return description.name();
  }

  /**
   * Returns whether this record is newer than another of the same target. Within an incarnation, a
   * leaving record replaces any other.
   *
   * @param other current record of the target
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
