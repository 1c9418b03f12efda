/** Registry of targets, its distribution between VMs, and clients for engines and services. */
package org.clementinesail.server.targets;
