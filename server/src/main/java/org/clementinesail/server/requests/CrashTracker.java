package org.clementinesail.server.requests;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinesail.core.pipeline.CrashHistory;
import org.clementinesail.core.pipeline.IsolationTurns;
import org.clementinesail.wire.proto.CrashMarkImage;
import org.clementinesail.wire.proto.CrashMarks;
import org.clementinesail.wire.proto.DoubtTurn;
import org.clementinesail.wire.proto.Frame;
import org.tinylog.Logger;

/**
 * Records which requests were running on a target when it crashed, and shares this with all VMs.
 *
 * <p>Such requests are suspected. Suspected requests run one at a time on a target until they get
 * past the position of the crash, so that a second crash identifies the request that causes it.
 */
public final class CrashTracker {
  private static final long TURN_POLL_INTERVAL_MS = 10;

  private final CrashHistory history = new CrashHistory();
  private final IsolationTurns turns;
  private final Map<String, Semaphore> turnSemaphores = new ConcurrentHashMap<>();
  private final Consumer<Frame> broadcast;

  /**
   * Creates a tracker with no recorded crashes.
   *
   * @param vm name of this VM
   * @param broadcast sends a frame to all other VMs
   */
  public CrashTracker(String vm, Consumer<Frame> broadcast) {
    this.turns = new IsolationTurns(vm);
    this.broadcast = broadcast;
  }

  /**
   * Records that a target crashed while it ran a request, and sends the record to all other VMs.
   *
   * @param crash request, position and target of the crash
   */
  public void recordCrash(CrashHistory.CrashRecord crash) {
    synchronized (history) {
      history.recordCrash(crash, System.nanoTime());
    }
    Logger.warn(
        "target {} crashed while it ran a request at position {}",
        crash.target(),
        crash.position());
    broadcastMark(encode(crash, false));
  }

  /**
   * Records that a request got past a position, and tells all other VMs; does nothing unless the
   * request is suspected.
   *
   * @param digest digest of the request
   * @param position token position that was completed
   */
  public void recordPassed(String digest, int position) {
    synchronized (history) {
      if (!history.suspected(digest)) {
        return;
      }
      history.recordPassed(digest, position);
    }
    broadcastMark(encode(new CrashHistory.CrashRecord(digest, position, "", false), true));
  }

  /**
   * Merges crash records from another VM.
   *
   * @param marks crashes and passed positions
   */
  public void receive(CrashMarks marks) {
    long now = System.nanoTime();
    synchronized (history) {
      history.expire(now);
      for (CrashMarkImage mark : marks.getMarksList()) {
        if (mark.getPassed()) {
          history.recordPassed(mark.getDigest(), mark.getPosition());
        } else {
          history.recordCrash(
              new CrashHistory.CrashRecord(
                  mark.getDigest(), mark.getPosition(), mark.getTarget(), mark.getIsolated()),
              now);
        }
      }
    }
  }

  /**
   * Returns whether a request has crashed {@link CrashHistory#MIN_CRASHED_TARGETS} targets and must
   * not run any more.
   *
   * @param digest digest of the request
   */
  public boolean blamed(String digest) {
    synchronized (history) {
      return history.blamed(digest);
    }
  }

  /**
   * Waits without a time limit until a suspected request may run alone on a target; returns at once
   * for any other request.
   *
   * @param digest digest of the request
   * @param target name of the target that will run the request
   * @return whether a turn was acquired and must be released with {@link #releaseTurn}
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean acquireTurn(String digest, String target) throws InterruptedException {
    boolean suspected;
    synchronized (history) {
      suspected = history.suspected(digest);
    }
    if (!suspected) {
      return false;
    }
    turnSemaphore(target).acquire();
    broadcastState(target, DoubtTurn.State.WAITING);
    TimeUnit.NANOSECONDS.sleep(IsolationTurns.ANNOUNCEMENT_WAIT_NANOS);
    while (!mayRun(target)) {
      TimeUnit.MILLISECONDS.sleep(TURN_POLL_INTERVAL_MS);
    }
    broadcastState(target, DoubtTurn.State.RUNNING);
    return true;
  }

  /**
   * Releases a turn that was acquired with {@link #acquireTurn}.
   *
   * @param target name of the target that ran the request
   */
  public void releaseTurn(String target) {
    broadcastState(target, DoubtTurn.State.DONE);
    turnSemaphore(target).release();
  }

  /**
   * Records another VM's turn on a target.
   *
   * @param vm name of the other VM
   * @param turn target and state of the turn
   */
  public void receive(String vm, DoubtTurn turn) {
    IsolationTurns.State state =
        switch (turn.getState()) {
          case WAITING -> IsolationTurns.State.WAITING;
          case RUNNING -> IsolationTurns.State.RUNNING;
          default -> IsolationTurns.State.DONE;
        };
    synchronized (turns) {
      turns.recordPeerState(vm, turn.getTarget(), state, System.nanoTime());
    }
  }

  private Semaphore turnSemaphore(String target) {
    return turnSemaphores.computeIfAbsent(target, key -> new Semaphore(1, true));
  }

  private boolean mayRun(String target) {
    synchronized (turns) {
      return turns.mayRun(target, System.nanoTime());
    }
  }

  private void broadcastState(String target, DoubtTurn.State state) {
    DoubtTurn turn = DoubtTurn.newBuilder().setTarget(target).setState(state).build();
    broadcast.accept(Frame.newBuilder().setDoubtTurn(turn).build());
  }

  private void broadcastMark(CrashMarkImage mark) {
    CrashMarks marks = CrashMarks.newBuilder().addAllMarks(List.of(mark)).build();
    broadcast.accept(Frame.newBuilder().setCrashMarks(marks).build());
  }

  private static CrashMarkImage encode(CrashHistory.CrashRecord crash, boolean passed) {
    return CrashMarkImage.newBuilder()
        .setDigest(crash.digest())
        .setPosition(crash.position())
        .setTarget(crash.target())
        .setIsolated(crash.isolated())
        .setPassed(passed)
        .build();
  }
}
