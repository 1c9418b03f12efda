/** Records of targets, and their replication between VMs. */
package org.clementinesail.core.targets;
