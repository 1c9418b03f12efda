package org.clementinesail.server.proxy;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks the lines of a response's head. Stricter than RFC 9112: a head that was put together from
 * parts of two heads must not pass for one, since its status may be that of another response, and
 * one that cannot be passed on must fail here, where the request can still be retried.
 */
final class HeadValidator {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( [^\\p{Cntrl}]*)?");
  private static final Pattern EMBEDDED_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");
  private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
  private static final Pattern CONTROL_CHARACTER = Pattern.compile("[\\p{Cntrl}&&[^\t]]");
  private static final String SWITCHING_PROTOCOLS = "101";
  private static final int STATUS_LINE_CODE = "HTTP/1.1 ".length();

  /** Headers that RFC 9110 and 9112 allow once. */
  private static final Set<String> SINGULAR_HEADERS =
      Set.of(
          "age",
          "content-length",
          "content-location",
          "content-range",
          "content-type",
          "date",
          "etag",
          "expires",
          "last-modified",
          "location",
          "retry-after",
          "transfer-encoding");

  private final Set<String> moreSingularHeaders;
  private final Set<String> seen = new HashSet<>();
  private boolean statusLineRead;

  /**
   * Creates a validator for one head.
   *
   * @param moreSingularHeaders names in lower case of further headers that may occur once
   */
  HeadValidator(Set<String> moreSingularHeaders) {
    this.moreSingularHeaders = moreSingularHeaders;
  }

  /**
   * Checks the next line and returns whether it ends the head.
   *
   * @param line the line without its line end, decoded as ISO 8859-1
   * @throws MalformedMessageException if the line cannot be part of a response's head
   */
  boolean acceptLine(String line) throws MalformedMessageException {
    if (!statusLineRead) {
      checkStatusLine(line);
      statusLineRead = true;
      return false;
    }
    if (line.isEmpty()) {
      return true;
    }
    checkHeader(line);
    return false;
  }

  private static void checkStatusLine(String line) throws MalformedMessageException {
    if (!STATUS_LINE.matcher(line).matches()) {
      throw new MalformedMessageException("invalid status line");
    }
    if (line.startsWith(SWITCHING_PROTOCOLS, STATUS_LINE_CODE)) {
      throw new MalformedMessageException("switch of protocols that was not requested");
    }
    if (EMBEDDED_STATUS_LINE.matcher(line).find(1)) {
      throw new MalformedMessageException("reason phrase contains a status line");
    }
  }

  private void checkHeader(String line) throws MalformedMessageException {
    int colon = line.indexOf(':');
    if (colon < 0) {
      throw new MalformedMessageException("header line without a colon");
    }
    String name = line.substring(0, colon);
    if (!HEADER_NAME.matcher(name).matches()) {
      throw new MalformedMessageException("invalid header name");
    }
    if (CONTROL_CHARACTER.matcher(line).find()) {
      throw new MalformedMessageException("header value contains a control character");
    }
    if (EMBEDDED_STATUS_LINE.matcher(line).find()) {
      throw new MalformedMessageException("header value contains a status line");
    }
    String key = name.toLowerCase(Locale.ROOT);
    boolean singular = SINGULAR_HEADERS.contains(key) || moreSingularHeaders.contains(key);
    if (singular && !seen.add(key)) {
      throw new MalformedMessageException("repeated header " + key);
    }
  }
}
