/** The two kinds of process on sites where VMs find one another through seeds. */
package org.clementinesail.server.nodes;
