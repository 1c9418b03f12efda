package org.clementinesail.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** The text form of a VM's address: IP number and port. */
final class PeerAddress {
  private PeerAddress() {}

  static String format(InetSocketAddress address) {
    return HostAndPort.fromParts(address.getHostString(), address.getPort()).toString();
  }

  /** Returns the address, or empty if the text is none; names are not looked up. */
  static Optional<InetSocketAddress> parse(String text) {
    try {
      HostAndPort parts = HostAndPort.fromString(text);
      return Optional.of(
          new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      return Optional.empty();
    }
  }
}
