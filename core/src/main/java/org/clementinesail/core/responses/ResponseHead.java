package org.clementinesail.core.responses;

import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * What of a target's response head decides on its use.
 *
 * @param status status code
 * @param refusal whether it states that the request has not run and never will
 * @param proven whether it has the proof that the target sent it
 * @param contentType value of Content-Type, or null
 * @param encoded whether the body has a Content-Encoding
 */
public record ResponseHead(
    int status, boolean refusal, boolean proven, @Nullable String contentType, boolean encoded) {
  private static final String EVENT_STREAM = "text/event-stream";

  /** What is done with a response. */
  public enum Use {
    /** Another target may be tried: the request has not run. */
    REFUSAL,
    /** A success without proof: the response counts as lost. */
    UNPROVEN,
    /** Passed on event by event. */
    EVENTS,
    /** Passed on whole, whatever it holds. */
    WHOLE,
    /** Cannot follow what the caller has received: nothing of it is passed on. */
    NO_CONTINUATION
  }

  /**
   * Decides what is done with the response.
   *
   * @param streamRoute whether the route's responses are streams
   * @param progress what the caller has received
   */
  public Use use(boolean streamRoute, ResponseProgress progress) {
    if (refusal) {
      return Use.REFUSAL;
    }
    if (success() && !proven) {
      return Use.UNPROVEN;
    }
    if (progress.started()) {
      return streamRoute && continues(progress) ? Use.EVENTS : Use.NO_CONTINUATION;
    }
    boolean events = success() && hasBody() && (contentType == null || isEventStream(contentType));
    return streamRoute && events ? Use.EVENTS : Use.WHOLE;
  }

  private boolean success() {
    return status >= 200 && status < 300;
  }

  private boolean hasBody() {
    return status != 204 && status != 205;
  }

  private boolean continues(ResponseProgress progress) {
    boolean sameType =
        contentType == null ? progress.contentType() == null : isEventStream(contentType);
    return progress.mayContinue() && status == 200 && sameType && !encoded;
  }

  private static boolean isEventStream(String type) {
    int parameters = type.indexOf(';');
    String name = parameters < 0 ? type : type.substring(0, parameters);
    return name.strip().toLowerCase(Locale.ROOT).equals(EVENT_STREAM);
  }
}
