/**
 * Targets that send heartbeats to the control VMs, as a VM knows them: their statements, their
 * reports, and whether they are suspect.
 */
package org.clementinesail.core.fleet;
