package org.clementinesail.core.responses;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What a caller has received of a response, and whether another target may continue it.
 *
 * <p>Only a stream whose events all had rising numbers as ids can be continued: the number tells
 * where to go on, and which events of the next target the caller has received already.
 *
 * <pre>{@code
 * ResponseProgress progress = new ResponseProgress(null);
 * progress.recordEvent("1");
 * progress.mayContinue(); // true
 * }</pre>
 */
public final class ResponseProgress {
  private @Nullable String lastEventId;
  private @Nullable String contentType;
  private boolean started;
  private boolean continuable = true;

  /**
   * Creates the progress of a response of which nothing was sent.
   *
   * @param lastEventId id after which the caller asked the stream to go on, or null
   */
  public ResponseProgress(@Nullable String lastEventId) {
    this.lastEventId = lastEventId;
  }

  /**
   * Records that the head was sent.
   *
   * @param type media type of the response, or null if it has none
   */
  public void recordHead(@Nullable String type) {
    started = true;
    contentType = type;
  }

  /**
   * Records that an event was sent.
   *
   * @param id id of the event, or null if it has none
   */
  public void recordEvent(@Nullable String id) {
    OptionalLong number = number(id);
    OptionalLong last = number(lastEventId);
    continuable &= number.isPresent() && (last.isEmpty() || number.getAsLong() > last.getAsLong());
    if (id != null) {
      lastEventId = id;
    }
  }

  /** Records that a part of a body was sent that is no event of a stream. */
  public void recordBytes() {
    continuable = false;
  }

  /** Returns whether the head was sent. */
  public boolean started() {
    return started;
  }

  /** Returns whether another target may start the response, or continue what was sent. */
  public boolean mayContinue() {
    return continuable;
  }

  /** Returns the media type of the head that was sent, or null if it had none. */
  @Nullable String contentType() {
    return contentType;
  }

  /** Returns the id after which the stream goes on, or null for its beginning. */
  public @Nullable String lastEventId() {
    return lastEventId;
  }

  /** What is done with an event of a target. */
  public enum EventUse {
    /** Passed on. */
    SEND,
    /** The caller has it already. */
    SKIP,
    /** Its place in the stream is unknown, so it must not be passed on. */
    UNKNOWN_PLACE
  }

  /**
   * Decides on an event of a run.
   *
   * @param id id of the event, or null if it has none
   * @param runStart id after which the run was to begin, or null for the beginning
   * @param continued whether the run continues a response that another one began
   */
  public static EventUse use(@Nullable String id, @Nullable String runStart, boolean continued) {
    OptionalLong number = number(id);
    OptionalLong start = number(runStart);
    if (number.isPresent() && start.isPresent()) {
      return number.getAsLong() > start.getAsLong() ? EventUse.SEND : EventUse.SKIP;
    }
    if (continued && number.isEmpty()) {
      return EventUse.UNKNOWN_PLACE;
    }
    return id != null && id.equals(runStart) ? EventUse.SKIP : EventUse.SEND;
  }

  private static OptionalLong number(@Nullable String id) {
    if (id == null) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }
}
