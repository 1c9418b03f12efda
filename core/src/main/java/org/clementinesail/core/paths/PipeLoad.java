package org.clementinesail.core.paths;

/**
 * How much of the pipe between data centres is in use, as far as this VM causes it. The class is
 * not thread-safe.
 */
public final class PipeLoad {
  /** Time over which sendings are averaged; about as long as a prompt's effect lasts. */
  private static final double TIME_CONSTANT_SECONDS = 2;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MEGA = 1e6;

  private double bits;
  private long updatedAt;

  /**
   * Notes that activations cross between data centres.
   *
   * @param sentBits bits that cross
   * @param now present time in nanoseconds
   */
  public void recordTransfer(double sentBits, long now) {
    decay(now);
    bits += sentBits;
  }

  /**
   * Returns the share of the pipe in use if all VMs send as much as this one.
   *
   * @param megabitsPerSecond bandwidth of the pipe
   * @param vms number of VMs
   * @param now present time in nanoseconds
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
