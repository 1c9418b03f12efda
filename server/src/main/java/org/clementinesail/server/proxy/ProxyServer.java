package org.clementinesail.server.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.limits.ClientLimits;
import org.clementinesail.core.limits.PlannedStop;
import org.clementinesail.core.limits.StartupWait;
import org.clementinesail.core.reachability.PeerPicker;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server that forwards the requests of callers to targets. All work is done on one event loop.
 *
 * <pre>{@code
 * ProxyServer proxy =
 *     new ProxyServer(loop, dialect, engineDialect, routing, startupWait, metrics, log);
 * proxy.listen(new InetSocketAddress("10.1.0.40", 8227));
 * }</pre>
 */
public final class ProxyServer {
  /** Interval of checks for stalled responses; a fraction of the 200 ms that callers notice. */
  private static final long PROGRESS_CHECK_INTERVAL_MS = 25;

  /** Interval of checks for idle connections. */
  private static final long IDLE_CHECK_INTERVAL_MS = 1_000;

  /**
   * Idle time after which a connection may be closed for lack of descriptors; other VMs send
   * requests that must not be repeated on connections that are idle for up to 1.5 s.
   */
  private static final long MIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long MIN_IDLE_CLOSE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Bytes queued for a caller above which reading from its target pauses. */
  private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
      new WriteBufferWaterMark(32 * 1_024, 64 * 1_024);

  private final EventLoop loop;
  private final ProxyContext context;
  private final ClientLimits clientLimits;
  private final LimitReports reports;
  private final Set<CallerConnection> connections = new HashSet<>();
  private final Set<Exchange> exchanges = new LinkedHashSet<>();
  private final List<Channel> serverChannels = new CopyOnWriteArrayList<>();
  private @Nullable PlannedStop plannedStop;
  private @Nullable ScheduledFuture<?> progressChecks;
  private long idleClosedAt = System.nanoTime() - MIN_IDLE_CLOSE_INTERVAL_NANOS;

  /**
   * Creates a server; {@link #listen} starts it.
   *
   * @param loop event loop that all work is done on
   * @param dialect header names of callers and targets
   * @param engineDialect format of reports from engines
   * @param routing desired state, fleet and load
   * @param startupWait how long requests wait for the first desired state
   * @param metrics receives the counters and latencies of requests
   * @param log receives refusals, failures and retries
   */
  public ProxyServer(
      EventLoop loop,
      Dialect dialect,
      EngineDialect engineDialect,
      RoutingState routing,
      StartupWait startupWait,
      ProxyMetrics metrics,
      DecisionLog log) {
    this(
        loop,
        dialect,
        engineDialect,
        routing,
        startupWait,
        ClientLimits.ofMachine(Runtime.getRuntime().maxMemory(), 0, 0),
        metrics,
        log);
  }

  /**
   * Creates a server with other limits than those of the heap; {@link #listen} starts it.
   *
   * @param loop event loop that all work is done on
   * @param dialect header names of callers and targets
   * @param engineDialect format of reports from engines
   * @param routing desired state, fleet and load
   * @param startupWait how long requests wait for the first desired state
   * @param clientLimits what all callers together may hold
   * @param metrics receives the counters and latencies of requests
   * @param log receives refusals, failures and retries
   */
  public ProxyServer(
      EventLoop loop,
      Dialect dialect,
      EngineDialect engineDialect,
      RoutingState routing,
      StartupWait startupWait,
      ClientLimits clientLimits,
      ProxyMetrics metrics,
      DecisionLog log) {
    this.clientLimits = clientLimits;
    this.reports = new LimitReports(metrics, log);
    this.loop = loop;
    TargetPool pool = new TargetPool(loop, dialect, log);
    EngineProbe probe = new EngineProbe(loop, pool, engineDialect);
    ListenerCheck listenerCheck = new ListenerCheck(loop, ListenerCheck.CONNECT_TIMEOUT_MS);
    ReachabilityChecks checks = new ReachabilityChecks(routing, loop, log);
    PeerPicker peers = new PeerPicker(routing.dataCentre(), routing.random());
    FaultDetector faults = new FaultDetector(routing, probe, listenerCheck, checks, log);
    this.context =
        new ProxyContext(
            loop,
            dialect,
            routing,
            pool,
            faults,
            new CrashReports(loop, faults, routing, log),
            new RateLimitReports(loop, routing, checks, log),
            new PeerRelay(peers, checks, new PeerWatch(loop, peers, log)),
            false,
            new BufferLimit(
                clientLimits.memoryBytes(), (held, max) -> reports.record("memory", held, max)),
            startupWait,
            metrics,
            log);
    routing.locality().listener(this::recordChangedShare);
  }

  private void recordChangedShare(LocalityState.Change change) {
    String service = change.figures().service();
    context.metrics().recordShareSentAway(service, change.from(), change.to(), change.share());
    context
        .log()
        .write(
            "share of data centre changed",
            "service",
            service,
            "from",
            change.from(),
            "to",
            change.to(),
            "share",
            change.share(),
            "call_ms",
            change.figures().callSeconds() * TimeUnit.SECONDS.toMillis(1),
            "waiting",
            change.figures().waiting(),
            "figures",
            change.figures().dataCentres(),
            "age_ms",
            TimeUnit.NANOSECONDS.toMillis(change.ageNanos()));
  }

  /** Returns what is known of requests, and parts of them, that crash targets. */
  public CrashReports crashReports() {
    return context.crashes();
  }

  /** Returns what is known of the limits that targets name. */
  public RateLimitReports rateLimitReports() {
    return context.rateLimits();
  }

  /** Returns the other VMs that serve requests while this VM reaches no target. */
  public PeerRelay peers() {
    return context.peers();
  }

  /**
   * Starts to accept connections. Blocks until the address is bound and throws the exception of a
   * failed bind, so it must not be called on the event loop.
   *
   * @param address address and port to listen on
   */
  public void listen(InetSocketAddress address) {
    ConnectionLimit limit =
        new ConnectionLimit(
            "connections",
            clientLimits.connections(),
            reports,
            this::closeIdle,
            this::headerTimeoutNanos);
    serverChannels.add(bind(address, context, limit));
    context.routing().admission().start(loop, this::isCutOff);
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("closing idle connections", this::closeExpired),
        IDLE_CHECK_INTERVAL_MS,
        IDLE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts to accept requests of other VMs, which serve callers and reach no target. Blocks until
   * the address is bound. Such a request is not passed on to a third VM.
   *
   * @param address address and port to listen on
   */
  public void listenForPeers(InetSocketAddress address) {
    ConnectionLimit limit =
        new ConnectionLimit(
            "relay_connections",
            clientLimits.relayConnections(),
            reports,
            this::closeIdle,
            this::headerTimeoutNanos);
    serverChannels.add(bind(address, context.forRelayedRequests(), limit));
  }

  private Channel bind(
      InetSocketAddress address, ProxyContext requestContext, ConnectionLimit limit) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 512)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
        .childHandler(
            new CallerChannels(
                requestContext,
                limit,
                this::reachesTargets,
                () -> new CallerConnection(requestContext, this)))
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Sets {@code Connection: close} on all further responses and closes their connections, and
   * refuses late requests that may not end before the stop.
   *
   * @param stop times of the stop, in nanoseconds of the monotonic clock
   */
  public void drain(PlannedStop stop) {
    plannedStop = stop;
  }

  /**
   * Closes the listening socket and the connections without a request in progress. Must be called
   * on the event loop, so that no connection is accepted between the close and the check.
   *
   * @param minIdleNanos minimum idle time in nanoseconds of the connections to close
   * @return whether no connection is left, so that no answer is due or unsent any more
   */
  public boolean stopAcceptingAndCheckIdle(long minIdleNanos) {
    stopAccepting();
    long now = System.nanoTime();
    List.copyOf(connections).forEach(c -> c.closeIfIdle(now, minIdleNanos));
    return connections.isEmpty() && exchanges.isEmpty();
  }

  /**
   * Ends all requests in progress with a status; a response that has begun is cut. Must be called
   * on the event loop.
   *
   * @return number of requests that were in progress
   */
  public int endRequests() {
    List<Exchange> open = List.copyOf(exchanges);
    open.forEach(exchange -> exchange.end("the VM stops"));
    return open.size();
  }

  /** Returns the number of requests in progress. */
  int requestsInProgress() {
    return exchanges.size();
  }

  /** Closes the listening socket and all connections of callers at once, on the event loop. */
  public void close() {
    stopAccepting();
    List.copyOf(connections).forEach(CallerConnection::close);
  }

  private void stopAccepting() {
    serverChannels.forEach(Channel::close);
  }

  /**
   * Begins to close connections that are idle, at most every 100 ms. Returns whether all ports
   * together still have room for a new one.
   */
  private long headerTimeoutNanos() {
    return TimeUnit.MILLISECONDS.toNanos(context.requestLimits().headerTimeoutMillis());
  }

  private boolean closeIdle() {
    long now = System.nanoTime();
    if (now - idleClosedAt > MIN_IDLE_CLOSE_INTERVAL_NANOS) {
      idleClosedAt = now;
      List.copyOf(connections).forEach(c -> c.closeIfIdle(now, MIN_IDLE_NANOS));
    }
    long max = (long) clientLimits.connections() + clientLimits.relayConnections();
    return connections.size() < max;
  }

  private boolean reachesTargets() {
    return context.peers().checks().reachability().cutOff().isEmpty();
  }

  private boolean isCutOff(String service) {
    return context.peers().checks().reachability().isCutOff(service);
  }

  /** Checks the progress of requests until none is left, so that an idle process does not wake. */
  private void startProgressChecks() {
    if (progressChecks == null) {
      // The watch of other VMs counts time from here on.
      context.peers().tick(System.nanoTime());
      progressChecks =
          loop.scheduleWithFixedDelay(
              new ErrorLoggingTask("checking the progress of requests", this::checkProgress),
              PROGRESS_CHECK_INTERVAL_MS,
              PROGRESS_CHECK_INTERVAL_MS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void checkProgress() {
    long now = System.nanoTime();
    context.peers().tick(now);
    if (exchanges.isEmpty() && context.peers().isQuiet() && progressChecks != null) {
      progressChecks.cancel(false);
      progressChecks = null;
      return;
    }
    context.routing().admission().dispatch(now);
    for (Exchange exchange : List.copyOf(exchanges)) {
      exchange.guardCheck(() -> exchange.checkProgress(now));
    }
  }

  private void closeExpired() {
    long now = System.nanoTime();
    List.copyOf(connections).forEach(c -> c.closeIfExpired(now));
  }

  ClientLimits clientLimits() {
    return clientLimits;
  }

  /** Records that a connection is ended for a limit of its own. */
  void limitReached(String kind) {
    reports.record(kind, connections.size(), clientLimits.connections());
  }

  boolean draining() {
    return plannedStop != null;
  }

  /** Returns whether a request with this deadline may be sent to a target. */
  boolean mayBegin(long now, long deadline) {
    return plannedStop == null || plannedStop.mayBegin(now, deadline);
  }

  void connectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  void exchangeStarted(Exchange exchange) {
    exchanges.add(exchange);
    startProgressChecks();
  }

  void exchangeEnded(Exchange exchange) {
    exchanges.remove(exchange);
  }
}
