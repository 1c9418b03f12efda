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
 * Shares with all VMs which requests were running where a target crashed.
 *
 * <p>Requests in doubt run one at a time on a target until they get past the position of the crash,
 * so that a second crash shows which of them is to blame.
 */
public final class CrashWatch {
  private static final long TURN_POLL_MS = 10;

  private final CrashHistory ledger = new CrashHistory();
  private final IsolationTurns turns;
  private final Map<String, Semaphore> doubt = new ConcurrentHashMap<>();
  private final Consumer<Frame> broadcast;

  /**
   * Creates a watch that has seen no crash.
   *
   * @param vm name of this VM
   * @param broadcast sends a frame to all other VMs
   */
  public CrashWatch(String vm, Consumer<Frame> broadcast) {
    this.turns = new IsolationTurns(vm);
    this.broadcast = broadcast;
  }

  /**
   * Notes that a target crashed under a request, here and on all other VMs.
   *
   * @param mark the crash
   */
  public void crashed(CrashHistory.CrashRecord mark) {
    synchronized (ledger) {
      ledger.recordCrash(mark, System.nanoTime());
    }
    Logger.warn("target {} crashed under a request at position {}", mark.target(), mark.position());
    send(image(mark, false));
  }

  /**
   * Notes that a request in doubt got past a position.
   *
   * @param digest digest of the request
   * @param position the position
   */
  public void passed(String digest, int position) {
    synchronized (ledger) {
      if (!ledger.suspected(digest)) {
        return;
      }
      ledger.recordPassed(digest, position);
    }
    send(image(new CrashHistory.CrashRecord(digest, position, "", false), true));
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
          ledger.recordPassed(mark.getDigest(), mark.getPosition());
        } else {
          ledger.recordCrash(
              new CrashHistory.CrashRecord(
                  mark.getDigest(), mark.getPosition(), mark.getTarget(), mark.getIsolated()),
              now);
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
   * @param target name of the target that it is to run on
   * @return whether the turn was taken and must be given back with {@link #leave}
   * @throws InterruptedException if the thread is interrupted
   */
  public boolean enter(String digest, String target) throws InterruptedException {
    boolean inDoubt;
    synchronized (ledger) {
      inDoubt = ledger.suspected(digest);
    }
    if (!inDoubt) {
      return false;
    }
    turnsOn(target).acquire();
    say(target, DoubtTurn.State.WAITING);
    TimeUnit.NANOSECONDS.sleep(IsolationTurns.ANNOUNCEMENT_WAIT_NANOS);
    while (!mayRun(target)) {
      TimeUnit.MILLISECONDS.sleep(TURN_POLL_MS);
    }
    say(target, DoubtTurn.State.RUNNING);
    return true;
  }

  /**
   * Gives a turn back.
   *
   * @param target name of the target
   */
  public void leave(String target) {
    say(target, DoubtTurn.State.DONE);
    turnsOn(target).release();
  }

  /**
   * Takes another VM's word on its turn.
   *
   * @param vm name of the VM
   * @param turn what it does
   */
  public void received(String vm, DoubtTurn turn) {
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

  private Semaphore turnsOn(String target) {
    return doubt.computeIfAbsent(target, key -> new Semaphore(1, true));
  }

  private boolean mayRun(String target) {
    synchronized (turns) {
      return turns.mayRun(target, System.nanoTime());
    }
  }

  private void say(String target, DoubtTurn.State state) {
    DoubtTurn turn = DoubtTurn.newBuilder().setTarget(target).setState(state).build();
    broadcast.accept(Frame.newBuilder().setDoubtTurn(turn).build());
  }

  private void send(CrashMarkImage mark) {
    CrashMarks marks = CrashMarks.newBuilder().addAllMarks(List.of(mark)).build();
    broadcast.accept(Frame.newBuilder().setCrashMarks(marks).build());
  }

  private static CrashMarkImage image(CrashHistory.CrashRecord mark, boolean passed) {
    return CrashMarkImage.newBuilder()
        .setDigest(mark.digest())
        .setPosition(mark.position())
        .setTarget(mark.target())
        .setIsolated(mark.isolated())
        .setPassed(passed)
        .build();
  }
}
