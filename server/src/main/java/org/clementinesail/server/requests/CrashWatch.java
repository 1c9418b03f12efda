package org.clementinesail.server.requests;

import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import org.clementinesail.core.pipeline.CrashLedger;
import org.clementinesail.wire.proto.CrashMarkImage;
import org.clementinesail.wire.proto.CrashMarks;
import org.clementinesail.wire.proto.Frame;
import org.tinylog.Logger;

/**
 * Shares with all VMs which requests were running where a target crashed.
 *
 * <p>Requests in doubt run one at a time on this VM until they get past the position of the crash,
 * so that a second crash shows which of them is to blame.
 */
public final class CrashWatch {
  private final CrashLedger ledger = new CrashLedger();
  private final Semaphore doubt = new Semaphore(1, true);
  private final Consumer<Frame> broadcast;

  /**
   * Creates a watch that has seen no crash.
   *
   * @param broadcast sends a frame to all other VMs
   */
  public CrashWatch(Consumer<Frame> broadcast) {
    this.broadcast = broadcast;
  }

  /**
   * Notes that a target crashed under a request, here and on all other VMs.
   *
   * @param mark the crash
   */
  public void crashed(CrashLedger.Mark mark) {
    synchronized (ledger) {
      ledger.crashed(mark, System.nanoTime());
    }
    Logger.warn("target {} crashed under a request at position {}", mark.target(), mark.position());
    send(image(mark.digest(), mark.position(), mark.target(), false));
  }

  /**
   * Notes that a request in doubt got past a position.
   *
   * @param digest digest of the request
   * @param position the position
   */
  public void passed(String digest, int position) {
    synchronized (ledger) {
      if (!ledger.inDoubt(digest)) {
        return;
      }
      ledger.passed(digest, position);
    }
    send(image(digest, position, "", true));
  }

  /**
   * Takes marks from another VM.
   *
   * @param marks the marks
   */
  public void received(CrashMarks marks) {
    long now = System.nanoTime();
    synchronized (ledger) {
      ledger.expire(now);
      for (CrashMarkImage mark : marks.getMarksList()) {
        if (mark.getPassed()) {
          ledger.passed(mark.getDigest(), mark.getPosition());
        } else {
          ledger.crashed(
              new CrashLedger.Mark(mark.getDigest(), mark.getPosition(), mark.getTarget()), now);
        }
      }
    }
  }

  /**
   * Returns whether a request has crashed as many targets as it may.
   *
   * @param digest digest of the request
   */
  public boolean blamed(String digest) {
    synchronized (ledger) {
      return ledger.blamed(digest);
    }
  }

  /**
   * Waits for the turn of a request in doubt; returns at once for any other.
   *
   * @param digest digest of the request
   * @return whether the turn was taken and must be given back with {@link #leave}
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean enter(String digest) throws InterruptedException {
    boolean inDoubt;
    synchronized (ledger) {
      inDoubt = ledger.inDoubt(digest);
    }
    if (inDoubt) {
      doubt.acquire();
    }
    return inDoubt;
  }

  /** Gives a turn back. */
  public void leave() {
    doubt.release();
  }

  private void send(CrashMarkImage mark) {
    CrashMarks marks = CrashMarks.newBuilder().addAllMarks(List.of(mark)).build();
    broadcast.accept(Frame.newBuilder().setCrashMarks(marks).build());
  }

  private static CrashMarkImage image(String digest, int position, String target, boolean passed) {
    return CrashMarkImage.newBuilder()
        .setDigest(digest)
        .setPosition(position)
        .setTarget(target)
        .setPassed(passed)
        .build();
  }
}
