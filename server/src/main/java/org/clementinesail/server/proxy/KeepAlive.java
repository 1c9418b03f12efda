package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long a target keeps an idle connection. */
final class KeepAlive {
  /** Idle timeout if the target gives none; shorter than common server idle timeouts. */
  private static final long DEFAULT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Connections are not reused within this time before the idle timeout of the target. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final Pattern TIMEOUT = Pattern.compile("timeout=([0-9]{1,6})");

  private KeepAlive() {}

  /**
   * Returns for how long the connection may be idle before it is reused, in nanoseconds.
   *
   * @param head head of the latest response
   */
  static long maxIdleNanos(HttpResponse head) {
    return timeoutNanos(head) - MARGIN_NANOS;
  }

  private static long timeoutNanos(HttpResponse head) {
    String value = head.headers().get("Keep-Alive");
    if (value == null) {
      return DEFAULT_NANOS;
    }
    Matcher matcher = TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
    return matcher.find()
        ? TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)))
        : DEFAULT_NANOS;
  }
}
