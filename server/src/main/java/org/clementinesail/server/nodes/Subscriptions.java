package org.clementinesail.server.nodes;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Subscribe;

/** Keeps this VM connected and subscribed to all control VMs; must be used on the event loop. */
final class Subscriptions {
  /** Interval of renewals; a control VM then sends a desired state that this VM has missed. */
  private static final long RENEW_INTERVAL_MS = 1_000;

  private final PeerNetwork network;
  private final boolean carriesTraffic;
  private final LongSupplier desiredVersion;
  private Set<String> seeds = Set.of();
  private Set<String> controlVms = Set.of();

  Subscriptions(PeerNetwork network, boolean carriesTraffic, LongSupplier desiredVersion) {
    this.network = network;
    this.carriesTraffic = carriesTraffic;
    this.desiredVersion = desiredVersion;
  }

  void start(EventLoop loop) {
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("renewing subscriptions", this::renew),
        RENEW_INTERVAL_MS,
        RENEW_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  void replaceSeeds(List<String> next) {
    seeds = Set.copyOf(next);
    connectToControlVms();
  }

  void updateControlVms(List<String> next) {
    if (!next.isEmpty() && !controlVms.equals(new HashSet<>(next))) {
      controlVms = Set.copyOf(next);
      connectToControlVms();
    }
  }

  /** Requests a full update on a new connection, as updates may have been lost with the old one. */
  void requestFullUpdate(String vm) {
    network.send(vm, subscribeFrame(true));
  }

  private void connectToControlVms() {
    Set<String> wanted = new HashSet<>(seeds);
    wanted.addAll(controlVms);
    network.connectTo(wanted);
  }

  private void renew() {
    connectToControlVms();
    Frame frame = subscribeFrame(false);
    network.peers().forEach(vm -> network.send(vm, frame));
  }

  private Frame subscribeFrame(boolean fullUpdate) {
    return Frame.newBuilder()
        .setSubscribe(
            Subscribe.newBuilder()
                .setDesiredVersion(desiredVersion.getAsLong())
                .setEverything(fullUpdate)
                .setCarriesTraffic(carriesTraffic))
        .build();
  }
}
