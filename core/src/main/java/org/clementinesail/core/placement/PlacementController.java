package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Decides which orders to send to engines, based on the fleet as the leading control VM knows it.
 *
 * <p>An engine may still execute an order that it has not answered. Such an order stays pending, is
 * sent again only with the same range, and carries the number of orders that the engine had
 * accepted before. The class is not thread-safe.
 */
public final class PlacementController {
  /**
   * While more than half of the engines hold no layers, orders wait until the number of engines has
   * not changed for this time, so that new engines are planned together.
   */
  private static final long GROWTH_WAIT_NANOS = 1_500_000_000L;

  /** An order without effect is sent again after this time, which is above the delay of reports. */
  private static final long RESEND_AFTER_NANOS = 2_000_000_000L;

  /** How long layers are missing before an engine that holds other layers is moved. */
  private static final long MOVE_DELAY_NANOS = 700_000_000L;

  /**
   * How long layers are missing before they are spread over the remaining engines of a chain. Until
   * then the engine may only have been silent, or its replacement may join.
   */
  private static final long SPREAD_DELAY_NANOS = 1_500_000_000L;

  /**
   * How long a placement is bad before that of a whole data centre is changed, which takes about as
   * long: a crashed engine has usually returned by then.
   */
  private static final long REBUILD_DELAY_NANOS = 6_000_000_000L;

  /** Minimum time between two moves; engines load weights from a store that they share. */
  private static final long MOVE_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * An order to an engine to hold a range of layers.
   *
   * @param id identity of the target
   * @param address its IP address and port
   * @param layers layers to hold
   * @param expectedSequence number of orders that the engine must have accepted before this one
   */
  public record Order(String id, String address, LayerRange layers, long expectedSequence) {}

  private record PendingOrder(LayerRange layers, long expectedSequence, long sentAt) {}

  private final Map<String, PendingOrder> pending = new HashMap<>();
  private @Nullable PlacementPlanner planner;
  private int lastEngineCount;
  private long engineCountChangedAt;
  private long moveNeededSince = Long.MIN_VALUE;
  private long lastMoveAt = Long.MIN_VALUE;

  /**
   * Returns the orders to send now and records them as pending.
   *
   * @param service name of the service
   * @param model layers, memory and speed of the service's engines
   * @param fleet known targets with their newest statements and reports
   * @param now current time in nanoseconds of the monotonic clock
   */
  public List<Order> decide(String service, EngineModel model, Fleet fleet, long now) {
    List<Fleet.Member> members = fleet.ready(service, now);
    members.removeIf(m -> model.accelerator(m.statement().accelerator()).isEmpty());
    removeSettledOrders(members, fleet);
    if (members.size() != lastEngineCount) {
      lastEngineCount = members.size();
      engineCountChangedAt = now;
    }
    List<PlacedEngine> engines = new ArrayList<>();
    members.forEach(m -> engines.add(placedEngine(m, model)));
    // A suspect engine may have failed: its layers count as missing before its lease ends.
    List<PlacedEngine> alive = new ArrayList<>();
    for (int i = 0; i < members.size(); i++) {
      if (!members.get(i).isSuspect(now)) {
        alive.add(engines.get(i));
      }
    }
    long unassigned = engines.stream().filter(e -> e.layers() == null).count();
    if (unassigned * 2 > engines.size() && now - engineCountChangedAt < GROWTH_WAIT_NANOS) {
      return List.of();
    }
    if (planner == null || !planner.model().equals(model)) {
      planner = new PlacementPlanner(model);
    }
    Map<String, LayerRange> assignments = new HashMap<>(planner.assignLayers(engines));
    assignments.putAll(nextMoves(planner, alive, now));
    pending.forEach((id, order) -> assignments.put(id, order.layers()));
    List<Order> orders = new ArrayList<>();
    for (Fleet.Member member : members) {
      LayerRange range = assignments.get(member.statement().id());
      if (range != null) {
        createOrder(member, range, now).ifPresent(orders::add);
      }
    }
    return orders;
  }

  private Map<String, LayerRange> nextMoves(
      PlacementPlanner planner, List<PlacedEngine> alive, long now) {
    if (!pending.isEmpty() || alive.stream().anyMatch(engine -> engine.layers() == null)) {
      moveNeededSince = Long.MIN_VALUE;
      return Map.of();
    }
    PlacementPlanner.Moves moves = planner.planMoves(alive, allowedExtent(now));
    if (!moves.needed()) {
      moveNeededSince = Long.MIN_VALUE;
      return Map.of();
    }
    if (moveNeededSince == Long.MIN_VALUE) {
      moveNeededSince = now;
    }
    boolean tooEarly =
        now - moveNeededSince < MOVE_DELAY_NANOS
            || (lastMoveAt != Long.MIN_VALUE && now - lastMoveAt < MOVE_INTERVAL_NANOS);
    if (tooEarly || moves.ranges().isEmpty()) {
      return Map.of();
    }
    lastMoveAt = now;
    return moves.ranges();
  }

  private PlacementPlanner.Extent allowedExtent(long now) {
    long badFor = moveNeededSince == Long.MIN_VALUE ? 0 : now - moveNeededSince;
    if (badFor >= REBUILD_DELAY_NANOS) {
      return PlacementPlanner.Extent.DATA_CENTRE;
    }
    return badFor >= SPREAD_DELAY_NANOS
        ? PlacementPlanner.Extent.CHAIN
        : PlacementPlanner.Extent.NEIGHBOURS;
  }

  private Optional<Order> createOrder(Fleet.Member member, LayerRange range, long now) {
    String id = member.statement().id();
    EngineReport report = member.freshReport(now).orElse(null);
    if (report == null || report.busy() || range.equals(report.layers())) {
      return Optional.empty();
    }
    PendingOrder previous = pending.get(id);
    if (previous != null && now - previous.sentAt() < RESEND_AFTER_NANOS) {
      return Optional.empty();
    }
    pending.put(id, new PendingOrder(range, report.orderSequence(), now));
    return Optional.of(new Order(id, member.statement().address(), range, report.orderSequence()));
  }

  /**
   * Removes pending orders that were carried out, those whose engine accepted another order
   * instead, and those whose engine no longer takes work.
   */
  private void removeSettledOrders(List<Fleet.Member> members, Fleet fleet) {
    pending
        .entrySet()
        .removeIf(
            entry -> {
              PendingOrder order = entry.getValue();
              Fleet.Member member = fleet.member(entry.getKey()).orElse(null);
              return member == null || !members.contains(member) || isSettled(member, order);
            });
  }

  private static boolean isSettled(Fleet.Member member, PendingOrder order) {
    EngineReport report = member.report();
    return report != null
        && report.reachable()
        && report.reportedAt() - order.sentAt() > 0
        && !report.busy()
        && (order.layers().equals(report.layers())
            || report.orderSequence() > order.expectedSequence());
  }

  private PlacedEngine placedEngine(Fleet.Member member, EngineModel model) {
    PendingOrder order = pending.get(member.statement().id());
    @Nullable LayerRange layers = order != null ? order.layers() : member.layers();
    return new PlacedEngine(
        member.statement().id(),
        member.statement().dataCentre(),
        model.accelerator(member.statement().accelerator()).orElseThrow(),
        layers);
  }

  /**
   * Records that an engine refused its order. The order is removed, so that the engine can get a
   * different one.
   *
   * @param id identity of the target; ignored if it has no pending order
   */
  public void recordRefusal(String id) {
    pending.remove(id);
  }
}
