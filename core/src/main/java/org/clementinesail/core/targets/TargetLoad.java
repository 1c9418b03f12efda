package org.clementinesail.core.targets;

/**
 * A target's report of its load.
 *
 * @param running steps or calls in progress
 * @param queued steps or calls that wait
 * @param kvUsed used share of the KV cache memory, from 0 to 1
 * @param reportedAt when the report reached a VM, in nanoseconds of this VM's monotonic clock
 */
public record TargetLoad(int running, int queued, double kvUsed, long reportedAt) {}
