package org.clementinesail.server.nodes;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Subscribe;
import org.jspecify.annotations.Nullable;

/** Keeps this VM connected and subscribed to all control VMs; must be used on the event loop. */
final class Subscriptions {
  /** Interval of renewals; a control VM then sends a desired state that this VM has missed. */
  private static final long RENEW_INTERVAL_MS = 1_000;

  /** Number of renewals to a control VM of which one asks for other VMs that carry traffic. */
  private static final int PEER_LIST_RENEWALS = 20;

  /** Shortest time between two requests for a full update after renewals of unknown statements. */
  private static final long MIN_FULL_UPDATE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final PeerNetwork network;
  private final Supplier<OptionalLong> desiredVersion;
  private final @Nullable Relaying relaying;
  private Set<String> seeds = Set.of();
  private Set<String> controlVms = Set.of();
  private int renewals;
  private long fullUpdateRequestedAt = System.nanoTime() - MIN_FULL_UPDATE_INTERVAL_NANOS;

  /**
   * What a VM that carries traffic states of itself to others.
   *
   * @param address IP address and port where it takes requests of VMs that reach no target; empty
   *     if it takes none
   * @param dataCentre its data centre
   * @param cutOff whether it reaches no target of some service itself
   */
  record Relaying(String address, String dataCentre, BooleanSupplier cutOff) {}

  /**
   * Creates subscriptions.
   *
   * @param network connections to other VMs
   * @param desiredVersion the version of the desired state that this VM holds, or empty for none
   * @param relaying what this VM states of itself, or null if it carries no traffic
   */
  Subscriptions(
      PeerNetwork network, Supplier<OptionalLong> desiredVersion, @Nullable Relaying relaying) {
    this.network = network;
    this.desiredVersion = desiredVersion;
    this.relaying = relaying;
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
    fullUpdateRequestedAt = System.nanoTime();
    network.send(vm, subscribeFrame(true, true));
  }

  /**
   * Requests a full update from a control VM that renews statements which this VM does not know, at
   * most once a second in total.
   *
   * @param vm the control VM
   * @param now current time in nanoseconds of the monotonic clock
   * @return whether the request is due
   */
  boolean requestUnknownStatements(String vm, long now) {
    if (now - fullUpdateRequestedAt < MIN_FULL_UPDATE_INTERVAL_NANOS) {
      return false;
    }
    fullUpdateRequestedAt = now;
    network.send(vm, subscribeFrame(true, false));
    return true;
  }

  /** Tells all control VMs at once that this VM is cut off, or is no more, and asks for others. */
  void reportReachability() {
    Frame frame = subscribeFrame(false, true);
    network.peers().forEach(vm -> network.send(vm, frame));
  }

  private void connectToControlVms() {
    Set<String> wanted = new HashSet<>(seeds);
    wanted.addAll(controlVms);
    network.connectTo(wanted);
  }

  private void renew() {
    connectToControlVms();
    boolean cutOff = relaying != null && relaying.cutOff().getAsBoolean();
    renewals++;
    List<String> peers = List.copyOf(network.peers());
    for (int i = 0; i < peers.size(); i++) {
      boolean asked = (renewals + i) % PEER_LIST_RENEWALS == 0;
      network.send(peers.get(i), subscribeFrame(false, cutOff || asked));
    }
  }

  private Frame subscribeFrame(boolean fullUpdate, boolean wantsPeers) {
    OptionalLong held = desiredVersion.get();
    Subscribe.Builder subscribe =
        Subscribe.newBuilder()
            .setDesiredVersion(held.orElse(0))
            .setHoldsDesired(held.isPresent())
            .setEverything(fullUpdate)
            .setAcceptsRenewals(true);
    if (relaying != null) {
      subscribe
          .setCarriesTraffic(true)
          .setRelayAddress(relaying.address())
          .setDataCentre(relaying.dataCentre())
          .setCutOff(relaying.cutOff().getAsBoolean())
          .setWantsPeers(wantsPeers);
    }
    return Frame.newBuilder().setSubscribe(subscribe).build();
  }
}
