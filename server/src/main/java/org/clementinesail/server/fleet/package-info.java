/** Receives the state of targets on control VMs, places layers and updates subscribed VMs. */
package org.clementinesail.server.fleet;
