package org.clementinesail.core.load;

/**
 * Load of all VMs, for one of them.
 *
 * @param includedSequence last report of the receiver that is included; 0 for none
 * @param reportingVms number of VMs that are included
 * @param counts the load
 */
public record LoadSummary(long includedSequence, int reportingVms, LoadCounts counts) {}
