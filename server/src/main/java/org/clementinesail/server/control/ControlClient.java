package org.clementinesail.server.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.wire.StateCodec;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;

/**
 * Has commands accepted by the replicas, wherever the leader is.
 *
 * <p>A command may be proposed more than once; every command gives the same result each time.
 */
public final class ControlClient {
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(700);
  private static final long RETRY_DELAY_MS = 40;

  private final PeerRequests requests;
  private final List<String> replicas;
  private final AtomicInteger nextReplica = new AtomicInteger();
  private volatile String leader = "";

  /**
   * Creates a client.
   *
   * @param requests sends requests
   * @param replicas VMs that hold replicas
   */
  public ControlClient(PeerRequests requests, List<String> replicas) {
    this.requests = requests;
    this.replicas = List.copyOf(replicas);
  }

  /** Returns the VM that is asked first: the last known leader, or the next replica in turn. */
  public String preferredReplica() {
    String lastKnownLeader = leader;
    if (!lastKnownLeader.isEmpty()) {
      return lastKnownLeader;
    }
    return replicas.get(Math.floorMod(nextReplica.getAndIncrement(), replicas.size()));
  }

  /**
   * Notes where the leader is.
   *
   * @param vm VM of the leader, or empty if it is not known
   */
  public void updateLeader(String vm) {
    leader = vm;
  }

  /**
   * Has a command accepted, or gives up at a deadline.
   *
   * @param command the command
   * @param deadline when to give up, in nanoseconds of the monotonic clock
   * @return its result
   * @throws ControlException if no majority answered in time; the command may still be accepted
   * @throws InterruptedException if the thread is interrupted
   */
  public CommandResult execute(Command command, long deadline) throws InterruptedException {
    while (true) {
      long remainingNanos = deadline - System.nanoTime();
      if (remainingNanos <= 0) {
        throw new ControlException("no majority of replicas answered in time");
      }
      String vm = preferredReplica();
      Request.Builder request = Request.newBuilder().setCommand(StateCodec.encode(command));
      Duration timeout = Duration.ofNanos(Math.min(remainingNanos, ATTEMPT_TIMEOUT.toNanos()));
      CompletableFuture<Response> response = requests.send(vm, request, timeout);
      try {
        Response answer = response.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        if (answer.hasResult()) {
          return StateCodec.decode(answer.getResult());
        }
        updateLeader(answer.getNotLeader().getLeaderVm());
      } catch (ExecutionException | TimeoutException e) {
        updateLeader("");
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
    }
  }
}
