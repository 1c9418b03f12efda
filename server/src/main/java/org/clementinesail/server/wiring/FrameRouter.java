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
import org.clementinesail.wire.PeerReachability;
import org.clementinesail.wire.ReplicaCodec;
import org.clementinesail.wire.SharedSecret;
import org.clementinesail.wire.TrafficCounters;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.Request;
import org.clementinesail.wire.proto.Response;
import org.clementinesail.wire.proto.RulesHint;
import org.jspecify.annotations.Nullable;

/**
 * Passes frames between the network and the components of this VM.
 *
 * <p>The components need the router to send frames, so it is created before them and gets them in
 * {@link #start}. Frames that arrive earlier are dropped; frames may be lost in any case.
 */
final class FrameRouter implements AutoCloseable {
  private final Settings settings;
  private final PeerNetwork network;
  private volatile @Nullable FrameReceivers receivers;

  FrameRouter(Settings settings) {
    this.settings = settings;
    Map<String, InetSocketAddress> peers = new HashMap<>();
    settings.peers().forEach(peer -> peers.put(peer.vm(), peer.address()));
    this.network =
        new PeerNetwork(
            settings.vm(),
            settings.listen().peers(),
            peers,
            new SharedSecret(settings.peerSecret()),
            this::onFrame);
  }

  void start(FrameReceivers frameReceivers) {
    receivers = frameReceivers;
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

  PeerReachability reachability(String vm) {
    return vm.equals(settings.vm()) ? PeerReachability.CONNECTED : network.reachability(vm);
  }

  Collection<String> peers() {
    return network.peers();
  }

  TrafficCounters traffic() {
    return network.traffic();
  }

  void onRulesAccepted(long number) {
    broadcast(Frame.newBuilder().setRulesHint(RulesHint.newBuilder().setNumber(number)).build());
    FrameReceivers current = receivers;
    if (current != null) {
      current.rules().onRulesHint(number);
    }
  }

  void onRulesChanged() {
    FrameReceivers current = receivers;
    if (current != null) {
      current.targets().rebuildGroups();
    }
  }

  CompletableFuture<Response> handleRequest(Request request) {
    FrameReceivers current = receivers;
    if (current == null) {
      return CompletableFuture.failedFuture(new ControlException("this VM is starting"));
    }
    return current.control().answer(request);
  }

  private void onFrame(String vm, Frame frame) {
    FrameReceivers current = receivers;
    if (current == null) {
      return;
    }
    switch (frame.getKindCase()) {
      case REPLICA -> {
        if (current.replica() != null) {
          current.replica().receive(ReplicaCodec.decode(frame.getReplica()));
        }
      }
      case REQUEST ->
          current
              .control()
              .answer(frame.getRequest())
              .thenAccept(r -> send(vm, Frame.newBuilder().setResponse(r).build()));
      case RESPONSE -> current.requests().complete(frame.getResponse());
      case TARGET_FACTS -> current.gossip().receive(frame.getTargetFacts());
      case TARGET_DIGESTS -> current.gossip().receive(vm, frame.getTargetDigests());
      case RULES_HINT -> current.rules().onRulesHint(frame.getRulesHint().getNumber());
      case CRASH_MARKS -> current.crashes().receive(frame.getCrashMarks());
      case DOUBT_TURN -> current.crashes().receive(vm, frame.getDoubtTurn());
      default -> {
        // The transport handles authentication and pings.
      }
    }
  }

  @Override
  public void close() {
    network.close();
  }
}
