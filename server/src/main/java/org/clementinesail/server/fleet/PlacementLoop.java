package org.clementinesail.server.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.ReportPollScheduler;
import org.clementinesail.core.placement.PlacementController;
import org.clementinesail.core.placement.PlacementController.Order;
import org.clementinesail.server.control.ErrorLoggingTask;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.EngineDialect;
import org.clementinesail.server.proxy.EngineProbe;
import org.clementinesail.server.proxy.ResponseListener;
import org.clementinesail.server.proxy.TargetPool;

/**
 * Requests reports from engines and sends them the orders of the placement controller. Active only
 * on the leading control VM, confined to the event loop.
 */
public final class PlacementLoop {
  /** Interval at which reports are requested and orders are decided. */
  private static final long DECISION_INTERVAL_MS = 250;

  /**
   * How long an engine is suspect after it gave no report, so that requests prefer other engines.
   * The next missing report extends the time.
   */
  private static final long SUSPECT_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** Interval at which the load of all engines is logged. */
  private static final long LOAD_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int CONFLICT = 409;

  /** Longest idle time of a connection that is reused for an order. */
  private static final long MAX_ORDER_CONNECTION_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final EventLoop loop;
  private final FleetPublisher publisher;
  private final BooleanSupplier isLeader;
  private final Supplier<Optional<DesiredState>> desired;
  private final EngineDialect dialect;
  private final TargetPool pool;
  private final EngineProbe probe;
  private final DecisionLog log;
  private final Map<String, ServiceEngines> services = new HashMap<>();
  private long loadLoggedAt;

  /** Placement and report polling for the engines of one service. */
  private record ServiceEngines(PlacementController controller, ReportPollScheduler pollScheduler) {
    ServiceEngines() {
      this(
          new PlacementController(),
          new ReportPollScheduler(TimeUnit.MILLISECONDS.toNanos(DECISION_INTERVAL_MS)));
    }
  }

  /**
   * Creates a loop; {@link #start} runs it.
   *
   * @param loop event loop that the placement runs on
   * @param publisher supplies the state of targets and receives reports
   * @param isLeader whether this VM leads
   * @param desired supplies the desired state in force, if any
   * @param dialect formats of reports and orders
   * @param pool connections to engines
   * @param log log of loads and orders
   */
  public PlacementLoop(
      EventLoop loop,
      FleetPublisher publisher,
      BooleanSupplier isLeader,
      Supplier<Optional<DesiredState>> desired,
      EngineDialect dialect,
      TargetPool pool,
      DecisionLog log) {
    this.loop = loop;
    this.publisher = publisher;
    this.isLeader = isLeader;
    this.desired = desired;
    this.dialect = dialect;
    this.pool = pool;
    this.probe = new EngineProbe(loop, pool, dialect);
    this.log = log;
  }

  /** Starts the loop. */
  public void start() {
    loop.scheduleWithFixedDelay(
        new ErrorLoggingTask("placing layers", this::runOnce),
        DECISION_INTERVAL_MS,
        DECISION_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void runOnce() {
    if (!isLeader.getAsBoolean()) {
      services.clear();
      return;
    }
    desired.get().ifPresent(state -> state.services().forEach(this::updateService));
  }

  private void updateService(Service service) {
    EngineModel model = service.engine();
    if (model == null || model.layers() == 0) {
      return;
    }
    long now = System.nanoTime();
    ServiceEngines engines = services.computeIfAbsent(service.name(), key -> new ServiceEngines());
    for (Fleet.Member member :
        engines.pollScheduler().selectDue(publisher.fleet().ready(service.name(), now), now)) {
      String id = member.statement().id();
      probe.requestReport(
          id, member.statement().address(), answer -> handleProbeAnswer(id, answer));
    }
    logLoad(service.name(), now);
    List<Order> orders = engines.controller().decide(service.name(), model, publisher.fleet(), now);
    orders.forEach(order -> sendOrder(order, engines));
  }

  /**
   * Logs the load of all engines in one line, to show afterwards where requests waited. Each engine
   * is written as {@code data centre/accelerator/layers:running+waiting,kvPERCENT%,xSLOWDOWN}.
   */
  private void logLoad(String service, long now) {
    if (now - loadLoggedAt < LOAD_LOG_INTERVAL_NANOS) {
      return;
    }
    loadLoggedAt = now;
    StringJoiner engines = new StringJoiner(" ");
    for (Fleet.Member member : publisher.fleet().ready(service, now)) {
      EngineReport report = member.report();
      if (report != null) {
        long kvPercent = report.kvTotal() == 0 ? 0 : 100 * report.kvUsed() / report.kvTotal();
        engines.add(
            member.statement().dataCentre()
                + "/"
                + member.statement().accelerator()
                + "/"
                + report.layers()
                + ":"
                + report.running()
                + "+"
                + report.waiting()
                + ",kv"
                + kvPercent
                + "%,x"
                + report.slowdown());
      }
    }
    log.write("load", "service", service, "engines", engines);
  }

  private void handleProbeAnswer(String id, EngineProbe.Result answer) {
    long now = System.nanoTime();
    if (answer instanceof EngineProbe.Reported reported) {
      publisher.onReport(reported.detail().report(), now);
    } else if (answer instanceof EngineProbe.Failed failed) {
      log.write("engine silent", "target", id, "reason", failed.reason());
      publisher.onReport(failed.report(), now + SUSPECT_DURATION_NANOS);
    }
  }

  private void sendOrder(Order order, ServiceEngines engines) {
    log.write(
        "order",
        "target",
        order.id(),
        "layers",
        order.layers(),
        "expected_sequence",
        order.expectedSequence());
    pool.sendEngineCall(
        order.address(),
        dialect.orderRequest(order),
        MAX_ORDER_CONNECTION_IDLE_NANOS,
        new OrderResponseListener(order, engines));
  }

  private final class OrderResponseListener implements ResponseListener {
    private final Order order;
    private final ServiceEngines engines;
    private int status;

    OrderResponseListener(Order order, ServiceEngines engines) {
      this.order = order;
      this.engines = engines;
    }

    @Override
    public void onHead(HttpResponse head) {
      status = head.status().code();
    }

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onComplete() {
      log.write("order answered", "target", order.id(), "status", status);
      if (status >= 400 && status != CONFLICT) {
        engines.controller().recordRefusal(order.id());
      }
      engines.pollScheduler().makeDue(order.id());
    }

    @Override
    public void onFailure(FailureKind kind, String reason) {
      // The order stays pending: the engine may have received it and may still execute it.
      log.write("order unanswered", "target", order.id(), "why", kind, "reason", reason);
    }
  }
}
