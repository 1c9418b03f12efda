package org.clementinesail.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests which layers engines are ordered to hold. */
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

  /** Engines that hold no layers. */
  public static class AssignLayersTest {
    /**
     * In a site as large as the users', each data centre holds all layers, and the engines of every
     * layer have memory for the requests of 3 s of the users' load, 56 a second in three data
     * centres.
     */
    @Test
    public void eachDataCentreHoldsTheWholeModel() {
      List<PlacedEngine> all = new ArrayList<>(engines("a", 1, 6, 5));
      all.addAll(engines("b", 2, 2, 5));
      all.addAll(engines("c", 1, 3, 8));
      Map<String, LayerRange> orders = PLANNER.assignLayers(all);
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
      PipelineEstimator estimator = new PipelineEstimator(TestModels.MODEL);
      for (String dataCentre : List.of("a", "b", "c")) {
        for (int layer = 0; layer < 80; layer++) {
          int requests = 0;
          for (PlacedEngine e : all) {
            LayerRange range = orders.get(e.id());
            if (e.dataCentre().equals(dataCentre) && covered(List.of(range), layer)) {
              requests += estimator.concurrency(e.accelerator(), range.size());
            }
          }
          assertTrue(requests >= 56, dataCentre + " layer " + layer + " takes " + requests);
        }
      }
    }

    /** Data centres that cannot hold the model alone hold it together. */
    @Test
    public void smallDataCentresShareTheModel() {
      List<PlacedEngine> all = new ArrayList<>(engines("a", 0, 0, 6));
      all.addAll(engines("b", 0, 0, 6));
      Map<String, LayerRange> orders = PLANNER.assignLayers(all);
      for (int layer = 0; layer < 80; layer++) {
        assertTrue(covered(orders.values(), layer), "layer " + layer + " is not held");
      }
    }

    /** A returning engine is assigned the layers that are missing. */
    @Test
    public void returningEngineTakesMissingLayers() {
      List<PlacedEngine> all = engines("a", 0, 0, 10);
      List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignLayers(all)));
      LayerRange lost = placed.get(3).layers();
      placed.set(3, engine("back", "a", TestModels.SMALL, null));
      assertEquals(PLANNER.assignLayers(placed), Map.of("back", lost));
    }
  }

  /** Layers that no engine holds any more. */
  public static class PlanMoveTest {
    private static List<LayerRange> ranges(List<PlacedEngine> placed) {
      return placed.stream().map(PlacedEngine::layers).toList();
    }

    private static boolean needsMoves(List<PlacedEngine> placed) {
      return PLANNER.planMoves(placed, PlacementPlanner.Extent.NEIGHBOURS).needed();
    }

    private static void move(List<PlacedEngine> placed) {
      Map<String, LayerRange> moves =
          PLANNER.planMoves(placed, PlacementPlanner.Extent.NEIGHBOURS).ranges();
      placed.replaceAll(
          e ->
              engine(
                  e.id(), e.dataCentre(), e.accelerator(), moves.getOrDefault(e.id(), e.layers())));
    }

    /**
     * Engines whose layers others hold too move to the missing layers, one for each lost engine at
     * most; then none are missing, and none that were held became missing on the way.
     */
    @Test
    public void movesSpareEnginesToMissingLayers() {
      List<PlacedEngine> all = engines("a", 0, 0, 36);
      List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignLayers(all)));
      LayerRange lost = placed.get(11).layers();
      placed.removeIf(e -> e.layers().from() < lost.to() && lost.from() < e.layers().to());
      int removed = all.size() - placed.size();
      List<LayerRange> held = ranges(placed);
      for (int moves = 0; moves < removed && needsMoves(placed); moves++) {
        move(placed);
        for (int layer = 0; layer < 80; layer++) {
          assertTrue(covered(ranges(placed), layer) || !covered(held, layer), "lost " + layer);
        }
      }
      for (int layer = 0; layer < 80; layer++) {
        assertTrue(covered(ranges(placed), layer), "layer " + layer + " is not held");
      }
    }

    private static long thinnest(List<PlacedEngine> placed) {
      LayerCoverage coverage =
          new LayerCoverage(TestModels.MODEL, new PipelineEstimator(TestModels.MODEL));
      placed.forEach(e -> coverage.add(e.accelerator(), e.layers()));
      return coverage.minConcurrency();
    }

    /**
     * Where every layer is held once and an engine is lost, its layers are placed anew, so that the
     * thinnest layer keeps at least half of the memory for requests that the engines allow.
     */
    @Test
    public void placesLayersAnewThatWereHeldOnce() {
      for (int engines = 9; engines <= 13; engines++) {
        List<PlacedEngine> all = engines("a", 0, 0, engines);
        List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignLayers(all)));
        placed.remove(4);
        List<PlacedEngine> empty =
            placed.stream().map(e -> engine(e.id(), "a", e.accelerator(), null)).toList();
        long best = thinnest(placed(empty, PLANNER.assignLayers(empty)));
        Map<String, LayerRange> moves =
            PLANNER.planMoves(placed, PlacementPlanner.Extent.CHAIN).ranges();
        placed.replaceAll(
            e -> engine(e.id(), "a", e.accelerator(), moves.getOrDefault(e.id(), e.layers())));
        assertTrue(thinnest(placed) >= best / 2, engines + ": " + thinnest(placed));
        assertFalse(needsMoves(placed), "moves follow on moves");
      }
    }

    /** Few engines move when layers are placed anew: each keeps its place in the order. */
    @Test
    public void keepsMostLayersWherePlacedAnew() {
      List<PlacedEngine> all = engines("a", 0, 0, 12);
      List<PlacedEngine> placed = new ArrayList<>(placed(all, PLANNER.assignLayers(all)));
      placed.remove(4);
      int loaded = 0;
      for (Map.Entry<String, LayerRange> move :
          PLANNER.planMoves(placed, PlacementPlanner.Extent.CHAIN).ranges().entrySet()) {
        LayerRange held =
            placed.stream().filter(e -> e.id().equals(move.getKey())).findFirst().get().layers();
        for (int layer = move.getValue().from(); layer < move.getValue().to(); layer++) {
          loaded += covered(List.of(held), layer) ? 0 : 1;
        }
      }
      assertTrue(loaded <= 40, loaded + " layers are loaded for 7 that are missing");
    }

    /** No engine moves if no layers are missing. */
    @Test
    public void movesNothingWhenNoLayersAreMissing() {
      List<PlacedEngine> all = engines("a", 1, 6, 5);
      assertFalse(needsMoves(placed(all, PLANNER.assignLayers(all))));
    }
  }
}
