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
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.server.proxy.EngineDialect;
import org.clementinesail.server.proxy.EngineProbe;
import org.clementinesail.server.proxy.ResponseListener;
import org.clementinesail.server.proxy.TargetPool;

/**
 * On the leading control VM: asks engines for reports and gives the orders that placement decides.
 * Confined to the event loop.
 */
public final class PlacementLoop {
  /** How often orders are decided. */
  private static final long DECIDE_MS = 250;

  /** How long an engine that gave no report is set aside unless it is silent again. */
  private static final long SUSPECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  /** How often the load of all engines is logged. */
  private static final long LOAD_LINE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int CONFLICT = 409;
  private static final long ORDER_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final EventLoop loop;
  private final FleetHub hub;
  private final BooleanSupplier leading;
  private final Supplier<Optional<DesiredState>> desired;
  private final EngineDialect dialect;
  private final TargetPool pool;
  private final EngineProbe probe;
  private final DecisionLog log;
  private final Map<String, Engines> services = new HashMap<>();
  private long loadNotedAt;

  /** What is decided on the engines of one service. */
  private record Engines(PlacementController controller, ReportPollScheduler pacing) {
    Engines() {
      this(
          new PlacementController(),
          new ReportPollScheduler(TimeUnit.MILLISECONDS.toNanos(DECIDE_MS)));
    }
  }

  /**
   * Creates a loop that does not run yet.
   *
   * @param loop the event loop
   * @param hub what is known of targets
   * @param leading whether this VM leads
   * @param desired the desired state in force
   * @param dialect formats of reports and orders
   * @param pool connections to engines
   * @param log lines for decisions
   */
  public PlacementLoop(
      EventLoop loop,
      FleetHub hub,
      BooleanSupplier leading,
      Supplier<Optional<DesiredState>> desired,
      EngineDialect dialect,
      TargetPool pool,
      DecisionLog log) {
    this.loop = loop;
    this.hub = hub;
    this.leading = leading;
    this.desired = desired;
    this.dialect = dialect;
    this.pool = pool;
    this.probe = new EngineProbe(loop, pool, dialect);
    this.log = log;
  }

  /** Begins to run. */
  public void start() {
    loop.scheduleWithFixedDelay(this::turn, DECIDE_MS, DECIDE_MS, TimeUnit.MILLISECONDS);
  }

  private void turn() {
    if (!leading.getAsBoolean()) {
      services.clear();
      return;
    }
    desired.get().ifPresent(state -> state.services().forEach(this::turn));
  }

  private void turn(Service service) {
    EngineModel model = service.engine();
    if (model == null || model.layers() == 0) {
      return;
    }
    long now = System.nanoTime();
    Engines engines = services.computeIfAbsent(service.name(), key -> new Engines());
    for (Fleet.Member member :
        engines.pacing().selectDue(hub.fleet().ready(service.name(), now), now)) {
      String id = member.statement().id();
      probe.requestReport(id, member.statement().address(), answer -> learned(id, answer));
    }
    noteLoad(service.name(), now);
    List<Order> orders = engines.controller().decide(service.name(), model, hub.fleet(), now);
    orders.forEach(order -> give(order, engines));
  }

  /** Writes the load of all engines as one line, to see afterwards where requests waited. */
  private void noteLoad(String service, long now) {
    if (now - loadNotedAt < LOAD_LINE_NANOS) {
      return;
    }
    loadNotedAt = now;
    StringJoiner engines = new StringJoiner(" ");
    for (Fleet.Member member : hub.fleet().ready(service, now)) {
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

  private void learned(String id, EngineProbe.Result answer) {
    long now = System.nanoTime();
    if (answer instanceof EngineProbe.Reported reported) {
      hub.reported(reported.detail().report(), now);
    } else if (answer instanceof EngineProbe.Failed silent) {
      log.write("engine silent", "target", id, "reason", silent.reason());
      hub.reported(silent.report(), now + SUSPECT_NANOS);
    }
  }

  private void give(Order order, Engines engines) {
    log.write(
        "order",
        "target",
        order.id(),
        "layers",
        order.layers(),
        "expected_sequence",
        order.expectedSequence());
    pool.send(
        order.address(),
        "",
        dialect.orderRequest(order),
        ORDER_IDLE_NANOS,
        new OrderAnswer(order, engines));
  }

  private final class OrderAnswer implements ResponseListener {
    private final Order order;
    private final Engines engines;
    private int status;

    OrderAnswer(Order order, Engines engines) {
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
      engines.pacing().makeDue(order.id());
    }

    @Override
    public void onFailure(FailureKind why, String reason) {
      // The order stays pending: it may have been taken, or still be carried out.
      log.write("order unanswered", "target", order.id(), "why", why, "reason", reason);
    }
  }
}
