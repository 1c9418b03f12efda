package org.clementinesail.core.fleet;

import com.google.common.net.InetAddresses;
import java.util.Optional;
import org.clementinesail.core.fleet.TargetStatement.Phase;

/**
 * Checks statements of targets. Others than targets may write them, and an earlier version of a VM
 * may pass them on unchecked.
 */
public final class StatementCheck {
  /** Longest id or name; many times longer than usual, and short enough for a header. */
  private static final int MAX_NAME_CHARS = 200;

  private static final int MAX_PORT = 65_535;

  private StatementCheck() {}

  /**
   * Returns what is wrong with a statement, or empty if it can be that of a target. After a
   * deregistration only the identity, the start and the sequence matter.
   *
   * @param statement the statement
   */
  public static Optional<String> problem(TargetStatement statement) {
    if (!isId(statement.id())) {
      return Optional.of("the id must be 1 to 200 printable ASCII characters without spaces");
    }
    if (statement.startedAtMillis() < 0 || statement.sequence() < 0) {
      return Optional.of("the start and the sequence must not be negative");
    }
    if (statement.phase() == Phase.GONE) {
      return Optional.empty();
    }
    if (!isAddress(statement.address())) {
      return Optional.of("the address must be IP:PORT of a single host, with a port 1..65535");
    }
    if (!isName(statement.service()) || !isName(statement.dataCentre())) {
      return Optional.of("service and data centre must be names of 1 to 200 characters");
    }
    if (!statement.accelerator().isEmpty() && !isName(statement.accelerator())) {
      return Optional.of("the accelerator must be a name of at most 200 characters");
    }
    return statement.slots() > 0 ? Optional.empty() : Optional.of("slots must be positive");
  }

  private static boolean isId(String text) {
    return isName(text) && text.chars().allMatch(c -> c > ' ' && c <= '~');
  }

  private static boolean isName(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_NAME_CHARS
        && text.chars().noneMatch(Character::isISOControl);
  }

  /**
   * Returns whether a text is the IP address and port of a single host. Names are not allowed, as
   * looking them up would block.
   *
   * @param text such as {@code 10.1.0.9:8080} or {@code [fd00::9]:8080}
   */
  static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (text.length() > MAX_NAME_CHARS || colon < 0) {
      return false;
    }
    String host = text.substring(0, colon);
    boolean brackets = host.startsWith("[") && host.endsWith("]");
    String literal = brackets ? host.substring(1, host.length() - 1) : host;
    return isPort(text.substring(colon + 1))
        && brackets == literal.contains(":")
        && literal.chars().allMatch(c -> c <= '~' && c != '%')
        && InetAddresses.isInetAddress(literal)
        && isSingleHost(literal);
  }

  private static boolean isPort(String text) {
    if (text.isEmpty() || text.length() > 5 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      return false;
    }
    int port = Integer.parseInt(text);
    return port > 0 && port <= MAX_PORT;
  }

  private static boolean isSingleHost(String literal) {
    var address = InetAddresses.forString(literal);
    byte[] bytes = address.getAddress();
    boolean broadcast = bytes.length == 4 && bytes[0] == -1;
    return !address.isAnyLocalAddress() && !address.isMulticastAddress() && !broadcast;
  }
}
