/** Decides whether this VM reaches the targets of a service, and which VM serves in its place. */
package org.clementinesail.core.reachability;
