package org.clementinesail.core.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests placement on deployments drawn at random: sizes, accelerators, models and loads. */
public class RandomDeploymentTest {
  private static final int DEPLOYMENTS = 200;
  private static final long FIRST_SEED = 20_261_204;

  private record Deployment(EngineModel model, List<PlacedEngine> engines) {}

  /** Returns the seeds of the deployments. */
  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[DEPLOYMENTS][];
    for (int i = 0; i < DEPLOYMENTS; i++) {
      seeds[i] = new Object[] {FIRST_SEED + i};
    }
    return seeds;
  }

  private static double between(Random random, double low, double high) {
    return low * Math.pow(high / low, random.nextDouble());
  }

  private static Deployment deployment(long seed) {
    Random random = new Random(seed);
    int kinds = 1 + random.nextInt(4);
    List<Accelerator> accelerators = new ArrayList<>();
    for (int i = 0; i < kinds; i++) {
      accelerators.add(
          new Accelerator(
              "kind-" + i,
              between(random, 8_000, 64_000),
              between(random, 1, 16),
              between(random, 1, 16)));
    }
    int layers = 16 + random.nextInt(81);
    EngineModel model =
        new EngineModel(
            16 + random.nextInt(200),
            layers,
            between(random, 200, 2_000),
            between(random, 100_000, 1_500_000),
            between(random, 0.3, 3),
            0.01,
            0.0137,
            between(random, 50_000, 400_000),
            65_767,
            between(random, 1_000, 20_000),
            200 + random.nextInt(2_000),
            50 + random.nextInt(400),
            accelerators);
    int dataCentres = 2 + random.nextInt(6);
    int count = (int) between(random, 8, 1_700);
    List<PlacedEngine> engines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Accelerator kind = accelerators.get(random.nextInt(kinds));
      engines.add(new PlacedEngine("e" + i, "dc-" + random.nextInt(dataCentres), kind, null));
    }
    return new Deployment(model, engines);
  }

  /**
   * The rate with all engines, in addition that without the best pipeline, and half of what the
   * spare engines add.
   */
  private static double score(
      PipelineEstimator estimator, List<List<PlacedEngine>> pipelines, List<PlacedEngine> site) {
    double total = 0;
    double spare = 0;
    double ratePerLayer = estimator.spareRatePerLayer(site);
    for (PlacedEngine engine : site) {
      boolean used = pipelines.stream().anyMatch(pipeline -> pipeline.contains(engine));
      spare += used ? 0 : ratePerLayer * estimator.balancedLayers(engine.accelerator());
    }
    double highest = 0;
    for (List<PlacedEngine> pipeline : pipelines) {
      double rate = estimator.estimate(pipeline).requestsPerSecond();
      total += rate;
      highest = Math.max(highest, rate);
    }
    return total + (total - highest) + spare / 2;
  }

  /** No engine is ordered to hold more than its memory, and each data centre holds the model. */
  @Test(dataProvider = "seeds")
  public void placesWithinMemory(long seed) {
    Deployment deployment = deployment(seed);
    EngineModel model = deployment.model();
    Map<String, LayerRange> orders = new PlacementPlanner(model).assignLayers(deployment.engines());
    Map<String, boolean[]> held = new HashMap<>();
    Map<String, Integer> capacity = new HashMap<>();
    PipelineEstimator estimator = new PipelineEstimator(model);
    for (PlacedEngine engine : deployment.engines()) {
      capacity.merge(engine.dataCentre(), estimator.maxLayers(engine.accelerator()), Integer::sum);
      LayerRange range = orders.get(engine.id());
      if (range == null) {
        continue;
      }
      assertTrue(range.to() <= model.layers(), "seed " + seed + ": " + range);
      assertTrue(
          range.size() <= engine.accelerator().maxLayers(model.layerMegabytes()),
          "seed " + seed + ": " + engine + " is ordered to hold " + range);
      boolean[] layers =
          held.computeIfAbsent(engine.dataCentre(), key -> new boolean[model.layers()]);
      for (int layer = range.from(); layer < range.to(); layer++) {
        layers[layer] = true;
      }
    }
    capacity.forEach(
        (dataCentre, layers) -> {
          for (int layer = 0; layers >= model.layers() && layer < model.layers(); layer++) {
            assertTrue(
                held.getOrDefault(dataCentre, new boolean[model.layers()])[layer],
                "seed " + seed + ": " + dataCentre + " lacks layer " + layer);
          }
        });
  }

  /** Random divisions into as many pipelines, and into one more or less, are hardly better. */
  @Test(dataProvider = "seeds")
  public void isNearTheBestOfRandomDivisions(long seed) {
    Deployment deployment = deployment(seed);
    PipelineEstimator estimator = new PipelineEstimator(deployment.model());
    PipelinePartitioner partitioner = new PipelinePartitioner(deployment.model(), estimator);
    List<PlacedEngine> site =
        new ArrayList<>(
            deployment.engines().stream().filter(e -> e.dataCentre().equals("dc-0")).toList());
    List<List<PlacedEngine>> planned = partitioner.pipelines(site);
    double score = score(estimator, planned, site);
    Random random = new Random(seed);
    for (int i = 0; i < 40; i++) {
      int pipelines = Math.max(1, planned.size() - 1 + random.nextInt(3));
      Collections.shuffle(site, random);
      List<List<PlacedEngine>> division = new ArrayList<>();
      for (int p = 0; p < pipelines; p++) {
        division.add(site.subList(site.size() * p / pipelines, site.size() * (p + 1) / pipelines));
      }
      assertTrue(
          score >= 0.8 * score(estimator, division, site),
          "seed " + seed + ": " + planned.size() + " pipelines, random " + pipelines);
    }
  }
}
