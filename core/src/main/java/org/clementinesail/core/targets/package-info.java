/**
 * Records of targets that announce themselves to a VM, and their replication between VMs. The state
 * of targets that send heartbeats to the control VMs is in {@code org.clementinesail.core.fleet}.
 */
package org.clementinesail.core.targets;
