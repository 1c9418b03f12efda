/**
 * The protocol between VMs: protobuf messages, their conversion from and to the core, transport.
 */
package org.clementinesail.wire;
