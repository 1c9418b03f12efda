/** The two kinds of VM process, control and entry, on sites where VMs find each other by seeds. */
package org.clementinesail.server.nodes;
