package org.clementinesail.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Which layers engines are told to hold. */
public class PlacementPlannerTest {
  private static final PlacementPlanner PLANNER = new PlacementPlanner(TestModels.MODEL);

  private static PlacedEngine engine(
      String id, String dataCentre, Accelerator kind, @Nullable LayerRange layers) {
    return new PlacedEngine(id, dataCentre, kind, layers);
  }

  private static List<PlacedEngine> engines(String dataCentre, int large, int middle, int small) {
    List<PlacedEngine> engines = new ArrayList<>();
    for (int i = 0; i < large; i++) {
      engines.add(engine(dataCentre + "-l" + i, dataCentre, TestModels.LARGE, null));
    }
    for (int i = 0; i < middle; i++) {
      engines.add(engine(dataCentre + "-m" + i, dataCentre, TestModels.MIDDLE, null));
    }
    for (int i = 0; i < small; i++) {
      engines.add(engine(dataCentre + "-s" + i, dataCentre, TestModels.SMALL, null));
    }
    return engines;
  }

  private static boolean covered(Iterable<LayerRange> ranges, int layer) {
    for (LayerRange range : ranges) {
      if (range.from() <= layer && layer < range.to()) {
        return true;
      }
    }
    return false;
  }

  private static List<PlacedEngine> placed(
      List<PlacedEngine> engines, Map<String, LayerRange> orders) {
    return engines.stream()
        .map(e -> engine(e.id(), e.dataCentre(), e.accelerator(), orders.get(e.id())))
        .toList();
  }

  /** A fleet that holds nothing. */
  public static class FillTest {
    /** Every data centre of the users' site gets every layer, and no engine more than it holds. */
    @Test
    public void eachDataCentreHoldsTheWholeModel() {
      List<PlacedEngine> all = new ArrayList<>(engines("a", 1, 6, 5));
      all.addAll(engines("b", 2, 2, 5));
      all.addAll(engines("c", 1, 3, 8));
      Map<String, LayerRange> orders = PLANNER.assignIdleEngines(all);
      assertEquals(orders.size(), all.size());
      for (String dataCentre : List.of("a", "b", "c")) {
        List<LayerRange> ranges =
            all.stream()
                .filter(e -> e.dataCentre().equals(dataCentre))
                .map(e -> orders.get(e.id()))
                .toList();
        for (int layer = 0; layer < 80; layer++) {
          assertTrue(covered(ranges, layer), dataCentre + " lacks layer " + layer);
        }
      }
      for (PlacedEngine e : all) {
        int most = e.accelerator().maxLayers(TestModels.MODEL.layerMegabytes());
        assertTrue(orders.get(e.id()).size() <= most * 0.7, e + " has no memory for requests");
      }
    }

    /** Data centres that cannot hold the model alone hold it together. */
    @Test
    public void smallDataCentresHoldItTogether() {
      List<PlacedEngine> all = new ArrayList<>(engines("a", 0, 0, 6));
      all.addAll(engines("b", 0, 0, 6));
      Map<String, LayerRange> orders = PLANNER.assignIdleEngines(all);
      for (int layer = 0; layer < 80; layer++) {
        assertTrue(covered(orders.values(), layer), "layer " + layer + " is not held");
      }
    }

    /** An engine that comes back fills what is lacking. */
    @Test
    public void returningEngineFillsTheHole() {
      List<PlacedEngine> all = engines("a", 0, 0, 10);
      List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignIdleEngines(all)));
      LayerRange lost = placed.get(3).layers();
      placed.set(3, engine("back", "a", TestModels.SMALL, null));
      assertEquals(PLANNER.assignIdleEngines(placed), Map.of("back", lost));
    }
  }

  /** Layers that nobody holds any more. */
  public static class MendTest {
    /** A spare engine moves, and leaves no hole behind. */
    @Test
    public void spareEngineMoves() {
      List<PlacedEngine> all = engines("a", 0, 0, 12);
      List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignIdleEngines(all)));
      LayerRange lost = placed.remove(11).layers();
      placed.removeIf(e -> e.layers().equals(lost));
      Optional<Map.Entry<String, LayerRange>> move = PLANNER.planMove(placed);
      assertEquals(move.map(Map.Entry::getValue), Optional.of(lost));
      String mover = move.orElseThrow().getKey();
      List<LayerRange> after =
          placed.stream().map(e -> e.id().equals(mover) ? lost : e.layers()).toList();
      for (int layer = 0; layer < 80; layer++) {
        assertTrue(covered(after, layer), "layer " + layer + " is not held");
      }
    }

    /** Nothing moves where nothing is lacking. */
    @Test
    public void nothingMovesWithoutHole() {
      List<PlacedEngine> all = engines("a", 1, 6, 5);
      assertTrue(PLANNER.planMove(placed(all, PLANNER.assignIdleEngines(all))).isEmpty());
    }
  }
}
