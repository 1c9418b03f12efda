package org.clementinesail.server.targets;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.targets.TargetRecord;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.wire.TargetCodec;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.TargetDigests;
import org.clementinesail.wire.proto.TargetFacts;

/**
 * Distributes target records to all VMs.
 *
 * <p>The VM that a target announced itself to sends each record once to all others. Records lost on
 * the way are found by comparing digests with one VM chosen at random.
 */
public final class TargetGossip {
  private static final long FLUSH_INTERVAL_MS = 200;
  private static final long DIGEST_INTERVAL_MS = 1_000;

  private final TargetRegistry registry;
  private final Supplier<Collection<String>> peers;
  private final BiConsumer<String, Frame> frameSender;
  private final RandomGenerator random;

  /**
   * Creates an instance that sends nothing until {@link #start} is called.
   *
   * @param registry target records of this VM
   * @param peers returns the names of the other VMs
   * @param frameSender sends a frame to the VM with the given name
   * @param random chooses the VM to compare digests with
   */
  public TargetGossip(
      TargetRegistry registry,
      Supplier<Collection<String>> peers,
      BiConsumer<String, Frame> frameSender,
      RandomGenerator random) {
    this.registry = registry;
    this.peers = peers;
    this.frameSender = frameSender;
    this.random = random;
  }

  /**
   * Starts to send new records every 200 ms and digests every second.
   *
   * @param timer runs both tasks
   */
  public void start(ScheduledExecutorService timer) {
    var unusedFlush =
        timer.scheduleWithFixedDelay(
            new ErrorLoggingTask("sending target records", this::flush),
            FLUSH_INTERVAL_MS,
            FLUSH_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    var unusedDigest =
        timer.scheduleWithFixedDelay(
            new ErrorLoggingTask("sending target digests", this::sendDigests),
            DIGEST_INTERVAL_MS,
            DIGEST_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Removes expired targets and sends new records to all other VMs immediately. */
  public void flush() {
    registry.expire();
    List<TargetRecord> outgoing = registry.takeOutgoing();
    if (outgoing.isEmpty()) {
      return;
    }
    TargetFacts facts = TargetCodec.encode(outgoing, System.nanoTime());
    Frame frame = Frame.newBuilder().setTargetFacts(facts).build();
    peers.get().forEach(vm -> frameSender.accept(vm, frame));
  }

  /**
   * Merges target records from another VM.
   *
   * @param facts encoded records
   */
  public void receive(TargetFacts facts) {
    registry.merge(TargetCodec.decode(facts, System.nanoTime()));
  }

  /**
   * Sends another VM the records that it may lack according to its digests.
   *
   * @param vm name of the other VM
   * @param digests one digest for each bucket of records of that VM
   */
  public void receive(String vm, TargetDigests digests) {
    long[] peerDigests = digests.getDigestsList().stream().mapToLong(Long::longValue).toArray();
    List<TargetRecord> missing = registry.recordsInDifferingBuckets(peerDigests);
    if (!missing.isEmpty()) {
      TargetFacts facts = TargetCodec.encode(missing, System.nanoTime());
      frameSender.accept(vm, Frame.newBuilder().setTargetFacts(facts).build());
    }
  }

  private void sendDigests() {
    List<String> peerNames = List.copyOf(peers.get());
    if (peerNames.isEmpty()) {
      return;
    }
    List<Long> digests = new ArrayList<>();
    for (long digest : registry.digests()) {
      digests.add(digest);
    }
    TargetDigests message = TargetDigests.newBuilder().addAllDigests(digests).build();
    String vm = peerNames.get(random.nextInt(peerNames.size()));
    frameSender.accept(vm, Frame.newBuilder().setTargetDigests(message).build());
  }
}
