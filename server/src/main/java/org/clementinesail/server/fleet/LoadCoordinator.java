package org.clementinesail.server.fleet;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.clementinesail.core.load.LoadBounds;
import org.clementinesail.core.load.LoadMerge;
import org.clementinesail.core.load.LoadSummary;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.logging.LoadLog;
import org.clementinesail.wire.CodecException;
import org.clementinesail.wire.LoadCodec;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * Sums up the loads of the VMs that carry traffic, and sends them the sum while this control VM
 * leads. Confined to the event loop.
 */
public final class LoadCoordinator {
  private static final long SUMMARY_INTERVAL_MS = 250;

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Supplier<Collection<String>> trafficVms;
  private final BooleanSupplier isLeader;
  private final DecisionLog log;
  private final LoadLog loadLog;

  /** Null unless this VM leads. */
  private @Nullable LoadMerge merge;

  private boolean sending;

  /**
   * Creates a coordinator; {@link #start} runs it.
   *
   * @param loop event loop that all methods are called on
   * @param network connections to other VMs
   * @param trafficVms supplies the names of the VMs that carry traffic
   * @param isLeader whether this VM leads
   * @param log receives invalid values, and whether summaries are sent
   */
  public LoadCoordinator(
      EventLoop loop,
      PeerNetwork network,
      Supplier<Collection<String>> trafficVms,
      BooleanSupplier isLeader,
      DecisionLog log) {
    this.loop = loop;
    this.network = network;
    this.trafficVms = trafficVms;
    this.isLeader = isLeader;
    this.log = log;
    this.loadLog = new LoadLog(log);
  }

  /** Starts to send summaries. */
  public void start() {
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("summing up the load", this::sendSummaries),
        SUMMARY_INTERVAL_MS,
        SUMMARY_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Replaces the load of a VM, unless this control VM does not lead.
   *
   * @param vm name of the VM
   * @param message its load
   */
  public void receive(String vm, LoadReport message) {
    LoadMerge current = merge;
    if (current == null) {
      return;
    }
    long now = System.nanoTime();
    try {
      loadLog.rejected(vm, current.record(vm, LoadCodec.decode(message), now), now);
    } catch (CodecException e) {
      String reason = String.valueOf(e.getMessage());
      loadLog.rejected(vm, List.of(new LoadBounds.Rejected("message", reason)), now);
    }
  }

  private void sendSummaries() {
    if (!isLeader.getAsBoolean()) {
      merge = null;
      sending = false;
      return;
    }
    long now = System.nanoTime();
    LoadMerge current = merge;
    if (current == null) {
      current = new LoadMerge(now);
      merge = current;
    }
    if (!current.isDue(now)) {
      return;
    }
    Frame frame = LoadCodec.encode(new LoadSummary(0, current.reportingVms(), current.sum()));
    Collection<String> receivers = trafficVms.get();
    if (!sending) {
      sending = true;
      log.write(
          "first load summary", "reporting", current.reportingVms(), "receivers", receivers.size());
    }
    for (String vm : receivers) {
      network.send(vm, LoadCodec.forReceiver(frame, current.includedSequence(vm)));
    }
  }
}
