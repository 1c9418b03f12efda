package org.clementinesail.wire;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Formats and parses the text form of a VM's address, such as {@code 10.0.0.1:7340}. */
final class PeerAddress {
  private PeerAddress() {}

  static String format(InetSocketAddress address) {
    return HostAndPort.fromParts(address.getHostString(), address.getPort()).toString();
  }

  /** Returns the address, or empty if the text is not an IP address with a port; uses no DNS. */
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
