package org.clementinesail.core.paths;

/**
 * Estimates the utilization of the link between data centres from the transfers of this VM, as an
 * exponentially decaying average. All links between data centres count as one. The class is not
 * thread-safe.
 */
public final class LinkLoad {
  /** Time constant of the average; about as long as the transfer of a prompt affects the link. */
  private static final double TIME_CONSTANT_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MEGA = 1e6;

  private double bits;
  private long updatedAt;

  /**
   * Records a transfer of activations between data centres.
   *
   * @param sentBits size of the transfer in bits
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public void recordTransfer(double sentBits, long now) {
    decay(now);
    bits += sentBits;
  }

  /**
   * Returns the used share of the bandwidth, assuming that all VMs send as much as this one. The
   * share exceeds 1 if they send more than the link carries.
   *
   * @param megabitsPerSecond bandwidth of the link; 0 or less returns a utilization of 0
   * @param vms number of VMs that send
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public double utilization(double megabitsPerSecond, int vms, long now) {
    decay(now);
    return megabitsPerSecond <= 0
        ? 0
        : bits / TIME_CONSTANT_SECONDS * vms / (megabitsPerSecond * MEGA);
  }

  private void decay(long now) {
    if (bits > 0) {
      bits *= Math.exp(-(now - updatedAt) / NANOS_PER_SECOND / TIME_CONSTANT_SECONDS);
    }
    updatedAt = now;
  }
}
