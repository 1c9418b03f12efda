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
 * Sends commands to the leading replica and retries until a majority accepts them.
 *
 * <p>A retry may propose a command twice; a repeated command gives the same result as the first.
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
   * @param requests client for requests to VMs
   * @param replicas names of the VMs that hold replicas; not empty
   */
  public ControlClient(PeerRequests requests, List<String> replicas) {
    this.requests = requests;
    this.replicas = List.copyOf(replicas);
  }

  /** Returns the VM to ask first: the last known leader, or else the next replica in rotation. */
  public String preferredReplica() {
    String lastKnownLeader = leader;
    if (!lastKnownLeader.isEmpty()) {
      return lastKnownLeader;
    }
    return replicas.get(Math.floorMod(nextReplica.getAndIncrement(), replicas.size()));
  }

  /**
   * Updates the VM that is asked first.
   *
   * @param vm name of the leader's VM, or an empty string if unknown
   */
  public void updateLeader(String vm) {
    leader = vm;
  }

  /**
   * Proposes a command until a majority accepts it or the deadline passes.
   *
   * @param command the command to propose
   * @param deadline when to give up, on the {@link System#nanoTime} clock
   * @return the result of applying the command
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
