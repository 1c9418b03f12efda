package org.clementinesail.core.load;

/**
 * Load of one VM.
 *
 * @param sequence number of the report since the VM has started, from 1
 * @param counts the load
 */
public record LoadReport(long sequence, LoadCounts counts) {}
