package org.clementinesail.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.placement.PlacementController.Order;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when orders are sent, sent again, or replaced. */
public class PlacementControllerTest {
  private Fleet fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
  private PlacementController controller = new PlacementController();
  private long now = TimeUnit.SECONDS.toNanos(100);

  /** Starts each test without engines. */
  @BeforeMethod
  public void reset() {
    fleet = new Fleet(TimeUnit.HOURS.toNanos(1));
    controller = new PlacementController();
  }

  private void join(String id) {
    fleet.recordStatement(
        new TargetStatement(id, "lm", id + ":1", "a", 8, Phase.READY, "small", null, 1, 1), now);
  }

  private void report(String id, boolean busy, long sequence, @Nullable LayerRange layers) {
    now += TimeUnit.MILLISECONDS.toNanos(10);
    fleet.recordReport(new EngineReport(id, true, 0, 0, 0, 0, 1, busy, sequence, layers, now), now);
  }

  private List<Order> decide() {
    now += TimeUnit.MILLISECONDS.toNanos(10);
    return controller.decide("lm", TestModels.MODEL, fleet, now);
  }

  private List<Order> decideForNewEngines(int engines) {
    for (int i = 0; i < engines; i++) {
      join("e" + i);
    }
    decide();
    now += TimeUnit.SECONDS.toNanos(2);
    for (int i = 0; i < engines; i++) {
      report("e" + i, false, 0, null);
    }
    return decide();
  }

  /** No orders are sent while the number of engines still grows. */
  @Test
  public void waitsWhileFleetGrows() {
    join("e0");
    report("e0", false, 0, null);
    assertEquals(decide(), List.of());
  }

  /** Each engine without layers gets one order, and no second one while the first is pending. */
  @Test
  public void ordersEachEngineOnce() {
    List<Order> first = decideForNewEngines(10);
    assertEquals(first.size(), 10);
    assertEquals(first.stream().map(Order::layers).distinct().count(), 10);
    assertEquals(decide(), List.of());
  }

  /** An order without effect is sent again with the same range and the same expected sequence. */
  @Test
  public void sendsTheSameOrderAgain() {
    List<Order> first = new ArrayList<>(decideForNewEngines(10));
    now += TimeUnit.SECONDS.toNanos(3);
    for (int i = 0; i < 10; i++) {
      report("e" + i, false, 0, null);
    }
    assertTrue(first.containsAll(decide()));
  }

  /** The reported layers count, even if an engine carried out an earlier order late. */
  @Test
  public void acceptsLayersOfLateOrder() {
    decideForNewEngines(10);
    LayerRange other = new LayerRange(0, 8);
    now += TimeUnit.SECONDS.toNanos(3);
    for (int i = 0; i < 10; i++) {
      report("e" + i, false, 1, other);
    }
    List<Order> next = decide();
    assertTrue(
        next.size() <= 1,
        "engines with layers move only one at a time, to missing layers: " + next);
  }

  /** An engine with an order in progress gets no order. */
  @Test
  public void sendsNoOrderToBusyEngine() {
    join("e0");
    decide();
    now += TimeUnit.SECONDS.toNanos(2);
    report("e0", true, 1, null);
    assertEquals(decide(), List.of());
  }
}
