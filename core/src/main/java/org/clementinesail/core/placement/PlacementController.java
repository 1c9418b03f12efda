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
 * Decides which orders to give now, from the fleet as the leading control VM knows it.
 *
 * <p>An order that got no answer may still be carried out, so it stays pending, is only ever sent
 * again with the same range, and names the number of orders that the engine had accepted before.
 * The class is not thread-safe.
 */
public final class PlacementController {
  /** How long a fleet that is mostly empty may grow before it is planned as a whole. */
  private static final long GROWTH_WAIT_NANOS = 1_500_000_000L;

  /** After this long an order without effect is sent again; above the lag of reports. */
  private static final long RESEND_AFTER_NANOS = 2_000_000_000L;

  /** How long layers may be missing before an engine that holds others is moved. */
  private static final long MOVE_DELAY_NANOS = 700_000_000L;

  /** Time between two moves; a move loads weights, which engines share a store for. */
  private static final long MOVE_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * An order for one engine.
   *
   * @param id identity of the target
   * @param address its IP number and port
   * @param layers layers to hold
   * @param expectedSequence number of orders that it must have accepted before
   */
  public record Order(String id, String address, LayerRange layers, long expectedSequence) {}

  private record PendingOrder(LayerRange layers, long expectedSequence, long sentAt) {}

  private final Map<String, PendingOrder> pending = new HashMap<>();
  private int lastEngineCount;
  private long engineCountChangedAt;
  private long layersMissingSince = Long.MIN_VALUE;
  private long lastMoveAt = Long.MIN_VALUE;

  /**
   * Returns the orders to give now.
   *
   * @param service name of the service
   * @param model how its engines behave
   * @param fleet what is known of them
   * @param now present time in nanoseconds
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
    // One that gives no report may be dead: its layers count as missing before its lease ends.
    List<PlacedEngine> alive = new ArrayList<>();
    for (int i = 0; i < members.size(); i++) {
      if (!members.get(i).isSuspect(now)) {
        alive.add(engines.get(i));
      }
    }
    long empty = engines.stream().filter(e -> e.layers() == null).count();
    if (empty * 2 > engines.size() && now - engineCountChangedAt < GROWTH_WAIT_NANOS) {
      return List.of();
    }
    PlacementPlanner planner = new PlacementPlanner(model);
    Map<String, LayerRange> wanted = new HashMap<>(planner.assignIdleEngines(engines));
    nextMove(planner, alive, now).ifPresent(e -> wanted.put(e.getKey(), e.getValue()));
    pending.forEach((id, order) -> wanted.put(id, order.layers()));
    List<Order> orders = new ArrayList<>();
    for (Fleet.Member member : members) {
      LayerRange range = wanted.get(member.statement().id());
      if (range != null) {
        createOrder(member, range, now).ifPresent(orders::add);
      }
    }
    return orders;
  }

  private Optional<Map.Entry<String, LayerRange>> nextMove(
      PlacementPlanner planner, List<PlacedEngine> alive, long now) {
    boolean filling =
        !pending.isEmpty() || alive.stream().anyMatch(engine -> engine.layers() == null);
    Optional<Map.Entry<String, LayerRange>> move =
        filling ? Optional.empty() : planner.planMove(alive);
    if (move.isEmpty()) {
      layersMissingSince = Long.MIN_VALUE;
      return move;
    }
    if (layersMissingSince == Long.MIN_VALUE) {
      layersMissingSince = now;
    }
    boolean tooEarly =
        now - layersMissingSince < MOVE_DELAY_NANOS
            || (lastMoveAt != Long.MIN_VALUE && now - lastMoveAt < MOVE_INTERVAL_NANOS);
    if (tooEarly) {
      return Optional.empty();
    }
    lastMoveAt = now;
    return move;
  }

  private Optional<Order> createOrder(Fleet.Member member, LayerRange range, long now) {
    String id = member.statement().id();
    EngineReport report = member.freshReport(now).orElse(null);
    if (report == null || report.busy() || range.equals(report.layers())) {
      return Optional.empty();
    }
    PendingOrder before = pending.get(id);
    if (before != null && now - before.sentAt() < RESEND_AFTER_NANOS) {
      return Optional.empty();
    }
    pending.put(id, new PendingOrder(range, report.orderSequence(), now));
    return Optional.of(new Order(id, member.statement().address(), range, report.orderSequence()));
  }

  /** Drops orders that have begun, were overtaken, or whose engine is gone. */
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
   * Notes that an engine refused an order, so that it is planned anew.
   *
   * @param id identity of the target
   */
  public void recordRefusal(String id) {
    pending.remove(id);
  }
}
