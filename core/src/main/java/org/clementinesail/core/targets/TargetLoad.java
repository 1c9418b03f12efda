package org.clementinesail.core.targets;

/**
 * The load that a target reports.
 *
 * @param running number of steps or calls in progress
 * @param queued number of steps or calls that wait
 * @param kvUsed used share of the KV cache memory, from 0 to 1
 * @param reportedAt when a VM received the report, in nanoseconds of this VM's monotonic clock
 */
public record TargetLoad(int running, int queued, double kvUsed, long reportedAt) {}
