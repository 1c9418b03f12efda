package org.clementinesail.server.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.server.proxy.OverlapCheck.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * The end of a response. If its body ends like another response, the bytes that follow decide
 * whether that one filled it; the response is held back until they come, for a short time.
 */
final class ResponseEnd {
  /** Longest wait for the bytes after a body that ends like another response. */
  private static final long MAX_WAIT_MS = 250;

  private final EventLoop loop;
  private final ResponseDecoder decoder;
  private final OverlapCheck body;
  private final Consumer<Boolean> receiver;
  private @Nullable ScheduledFuture<?> timer;
  private boolean decided;

  /**
   * Creates an end that is not judged yet.
   *
   * @param body the whole body
   * @param receiver receives once whether another response filled the body
   */
  ResponseEnd(
      EventLoop loop, ResponseDecoder decoder, OverlapCheck body, Consumer<Boolean> receiver) {
    this.loop = loop;
    this.decoder = decoder;
    this.body = body;
    this.receiver = receiver;
  }

  /** Judges the bytes received so far. */
  void judge() {
    Verdict verdict = body.judge(decoder.undecoded());
    if (verdict == Verdict.OPEN) {
      decoder.hold(true);
    } else {
      decide(verdict == Verdict.FILLED);
    }
  }

  /** Called when all bytes that had arrived have been read. */
  void onReadComplete() {
    if (decided) {
      return;
    }
    judge();
    if (!decided && !isWorthWaiting()) {
      decide(false);
    } else if (!decided && timer == null) {
      timer = loop.schedule(this::onNoMoreBytes, MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isWorthWaiting() {
    return decoder.undecodedBytes() > 0 || body.endsLikeResponse();
  }

  /** Called when no more bytes will be read. */
  void onNoMoreBytes() {
    decide(false);
  }

  /** Returns whether the response was held back, so that bytes may still come after it. */
  boolean waited() {
    return timer != null;
  }

  private void decide(boolean filled) {
    if (decided) {
      return;
    }
    decided = true;
    if (timer != null) {
      timer.cancel(false);
    }
    decoder.hold(false);
    receiver.accept(filled);
  }
}
