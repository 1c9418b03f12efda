/** Shares the request rates that targets name between the VMs that send to them. */
package org.clementinesail.core.ratelimits;
