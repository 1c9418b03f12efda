package org.clementinesail.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementinesail.wire.proto.Frame;
import org.jspecify.annotations.Nullable;

/**
 * Connections to all other VMs of the site. Frames may be lost. A side that receives nothing on a
 * connection closes it, the connecting side after 2.1 seconds and the accepting side after 5. The
 * connecting side then opens a new one.
 *
 * <pre>{@code
 * PeerNetwork network = new PeerNetwork("vm-1", bindAddress, peers, secret, listener);
 * network.start();
 * network.send("vm-2", frame);
 * }</pre>
 */
public final class PeerNetwork implements AutoCloseable {
  private static final int NETWORK_THREADS = 2;
  private static final int READ_TIMEOUT_MS = 5_000;

  private final String self;
  private final @Nullable InetSocketAddress bindAddress;
  private final SharedSecret secret;
  private final PeerListener listener;
  private final TrafficCounters traffic = new TrafficCounters();
  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<String, Channel> inboundChannels = new ConcurrentHashMap<>();
  private @Nullable Channel server;

  /**
   * Creates a network of VMs with given names. {@link #start()} opens the connections.
   *
   * @param self name of this VM
   * @param bindAddress address to accept connections at
   * @param peers addresses of the other VMs by name
   * @param secret secret that all VMs share
   * @param listener receives frames and connection events on the network threads
   */
  public PeerNetwork(
      String self,
      InetSocketAddress bindAddress,
      Map<String, InetSocketAddress> peers,
      SharedSecret secret,
      PeerListener listener) {
    this(
        self,
        bindAddress,
        secret,
        listener,
        new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory()),
        true);
    peers.forEach((vm, address) -> links.put(vm, createLink(vm, address)));
  }

  private PeerNetwork(
      String self,
      @Nullable InetSocketAddress bindAddress,
      SharedSecret secret,
      PeerListener listener,
      EventLoopGroup group,
      boolean ownsGroup) {
    this.self = self;
    this.bindAddress = bindAddress;
    this.secret = secret;
    this.listener = listener;
    this.group = group;
    this.ownsGroup = ownsGroup;
  }

  /**
   * Creates a network of VMs that are named by their addresses and added while it runs.
   *
   * @param self name of this VM
   * @param bindAddress address to accept connections at, or null to accept none
   * @param secret secret that all VMs share
   * @param listener receives frames and connection events on the threads of {@code group}
   * @param group event loops to run on; stays open when the network is closed
   */
  public static PeerNetwork byAddress(
      String self,
      @Nullable InetSocketAddress bindAddress,
      SharedSecret secret,
      PeerListener listener,
      EventLoopGroup group) {
    return new PeerNetwork(self, bindAddress, secret, listener, group, false);
  }

  private PeerLink createLink(String vm, InetSocketAddress address) {
    return new PeerLink(self, bindAddress, vm, address, secret, traffic, group, listener);
  }

  /**
   * Connects to the given VMs, which are named by their addresses, and removes all others that have
   * no open connection.
   *
   * @param vms IP addresses with ports; this VM and entries of another form are ignored
   */
  public void connectTo(Set<String> vms) {
    for (String vm : vms) {
      if (!vm.equals(self) && !links.containsKey(vm)) {
        PeerAddress.parse(vm).ifPresent(address -> addPeer(vm, address));
      }
    }
    for (String vm : Set.copyOf(links.keySet())) {
      if (!vms.contains(vm) && reachability(vm) != PeerReachability.CONNECTED) {
        PeerLink removed = links.remove(vm);
        if (removed != null) {
          removed.close();
        }
      }
    }
  }

  /** Starts to accept connections and to connect to the other VMs; blocks until it listens. */
  public void start() {
    if (bindAddress != null) {
      server = listen(bindAddress);
    }
    links.values().forEach(PeerLink::connect);
  }

  private Channel listen(InetSocketAddress address) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new IdleStateHandler(READ_TIMEOUT_MS, 0, 0, TimeUnit.MILLISECONDS));
                FrameCodec.install(channel.pipeline(), traffic);
                channel
                    .pipeline()
                    .addLast(new InboundPeerHandler(self, secret, listener, new InboundSessions()));
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /** Keeps the inbound connections, which are the only way to VMs that accept no connections. */
  private final class InboundSessions implements InboundPeerHandler.SessionListener {
    @Override
    public void opened(String vm, String address, Channel channel) {
      inboundChannels.put(vm, channel);
      PeerAddress.parse(address).ifPresent(at -> addPeer(vm, at));
    }

    @Override
    public void closed(String vm, Channel channel) {
      inboundChannels.remove(vm, channel);
    }
  }

  /**
   * Sends a frame if there is an open connection whose write buffer is not full.
   *
   * @param vm name of the receiver
   * @param frame the frame, at most 64 MiB
   * @return whether the frame was handed to a connection; it may still be lost
   */
  public boolean send(String vm, Frame frame) {
    PeerLink link = links.get(vm);
    if (link != null) {
      return link.send(frame);
    }
    Channel channel = inboundChannels.get(vm);
    if (channel == null || !channel.isWritable()) {
      return false;
    }
    channel.writeAndFlush(frame, channel.voidPromise());
    return true;
  }

  /** Returns the names of the VMs that have connected to this one and accept no connections. */
  public Collection<String> inboundOnlyPeers() {
    return inboundChannels.keySet().stream().filter(vm -> !links.containsKey(vm)).toList();
  }

  /**
   * Returns whether a VM can be reached by an outbound connection.
   *
   * @param vm name of the VM; an unknown one is unresponsive
   */
  public PeerReachability reachability(String vm) {
    PeerLink link = links.get(vm);
    return link == null ? PeerReachability.UNRESPONSIVE : link.reachability();
  }

  /** Returns the names of the VMs that this one connects to, with those added since the start. */
  public Collection<String> peers() {
    return Set.copyOf(links.keySet());
  }

  /** Connects to a VM that was not known before, such as one that has joined the site. */
  private void addPeer(String vm, InetSocketAddress address) {
    if (vm.equals(self) || links.containsKey(vm)) {
      return;
    }
    PeerLink link = createLink(vm, address);
    if (links.putIfAbsent(vm, link) == null) {
      listener.joined(vm, address);
      link.connect();
    }
  }

  /** Returns the byte counters of all connections of this network. */
  public TrafficCounters traffic() {
    return traffic;
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    inboundChannels.values().forEach(Channel::close);
    if (!ownsGroup) {
      return;
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
