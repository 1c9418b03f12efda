package org.clementinesail.server.wiring;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.server.control.ControlException;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.PeerReach;
import org.clementinesail.wire.ReplicaCodec;
import org.clementinesail.wire.SharedSecret;
import org.clementinesail.wire.Traffic;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.RulesHint;
import org.jspecify.annotations.Nullable;

/**
 * Passes frames between the network and the parts of this VM.
 *
 * <p>The parts send through it and are reached through it, so it is made first and is told of them
 * later; frames that come before are dropped, as frames may be.
 */
final class Switchboard implements AutoCloseable {
  private final Settings settings;
  private final PeerNetwork network;
  private volatile @Nullable Receivers receivers;

  Switchboard(Settings settings) {
    this.settings = settings;
    Map<String, InetSocketAddress> peers = new HashMap<>();
    settings.peers().forEach(peer -> peers.put(peer.vm(), peer.address()));
    this.network =
        new PeerNetwork(
            settings.vm(),
            settings.listen().peers(),
            peers,
            new SharedSecret(settings.peerSecret()),
            this::received);
  }

  void start(Receivers parts) {
    receivers = parts;
    network.start();
  }

  boolean send(String vm, Frame frame) {
    return network.send(vm, frame);
  }

  void broadcast(Frame frame) {
    network.peers().forEach(vm -> network.send(vm, frame));
  }

  void send(ReplicaMessage message) {
    Frame frame = Frame.newBuilder().setReplica(ReplicaCodec.encode(message)).build();
    network.send(message.to().vm(), frame);
  }

  PeerReach reach(String vm) {
    return vm.equals(settings.vm()) ? PeerReach.CONNECTED : network.reach(vm);
  }

  Collection<String> peers() {
    return network.peers();
  }

  Traffic traffic() {
    return network.traffic();
  }

  void rulesAccepted(long number) {
    broadcast(Frame.newBuilder().setRulesHint(RulesHint.newBuilder().setNumber(number)).build());
    Receivers parts = receivers;
    if (parts != null) {
      parts.rules().onRulesHint(number);
    }
  }

  void rulesChanged() {
    Receivers parts = receivers;
    if (parts != null) {
      parts.targets().regroup();
    }
  }

  CompletableFuture<Response> answer(Request request) {
    Receivers parts = receivers;
    if (parts == null) {
      return CompletableFuture.failedFuture(new ControlException("this VM is starting"));
    }
    return parts.control().answer(request);
  }

  private void received(String vm, Frame frame) {
    Receivers parts = receivers;
    if (parts == null) {
      return;
    }
    switch (frame.getKindCase()) {
      case REPLICA -> {
        if (parts.replica() != null) {
          parts.replica().receive(ReplicaCodec.decode(frame.getReplica()));
        }
      }
      case REQUEST ->
          parts
              .control()
              .answer(frame.getRequest())
              .thenAccept(r -> send(vm, Frame.newBuilder().setResponse(r).build()));
      case RESPONSE -> parts.requests().complete(frame.getResponse());
      case TARGET_FACTS -> parts.gossip().received(frame.getTargetFacts());
      case TARGET_DIGESTS -> parts.gossip().received(vm, frame.getTargetDigests());
      case RULES_HINT -> parts.rules().onRulesHint(frame.getRulesHint().getNumber());
      case CRASH_MARKS -> parts.crashes().received(frame.getCrashMarks());
      case DOUBT_TURN -> parts.crashes().received(vm, frame.getDoubtTurn());
      default -> {
        // Authentication and pings end in the transport.
      }
    }
  }

  @Override
  public void close() {
    network.close();
  }
}
