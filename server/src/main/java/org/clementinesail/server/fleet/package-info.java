/** How control VMs hear targets, place layers, and tell the VMs that carry traffic. */
package org.clementinesail.server.fleet;
