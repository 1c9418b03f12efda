/** What is known of targets, and how that knowledge spreads among VMs. */
package org.clementinesail.core.targets;
