package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Divides the engines of a data centre into pipelines that hold the whole model each.
 *
 * <p>Engines are sorted by speed, and each pipeline takes consecutive ones, so that fast engines do
 * not wait for slow ones; or all take engines of every speed, if the loss of the fast pipeline
 * would cost too much. Many pipelines share the load and survive the loss of an engine; few
 * pipelines leave more memory for requests. The number is chosen for the highest request rate with
 * all engines and after the loss of one.
 */
final class PipelinePartitioner {
  /** Weight of the request rate after the loss of the best pipeline, relative to the full rate. */
  private static final double LOSS_WEIGHT = 1;

  /** Weight of an engine that stays spare: it serves part of a path, and replaces lost ones. */
  private static final double SPARE_WEIGHT = 0.5;

  private final EngineModel model;
  private final PipelineEstimator estimator;

  PipelinePartitioner(EngineModel model, PipelineEstimator estimator) {
    this.model = model;
    this.estimator = estimator;
  }

  /**
   * Best division of the first engines into a number of pipelines, with some left out if that is
   * better.
   *
   * @param rate requests per second of all pipelines, and weighted those of the spare engines
   * @param start index of the first engine of the last pipeline
   * @param end index after its last engine
   */
  private record Division(double rate, int start, int end) {}

  /**
   * Returns the range of each engine by target identity; empty if the engines cannot hold the whole
   * model.
   *
   * @param engines engines of one data centre, or of several that share a model
   */
  Map<String, LayerRange> assign(List<PlacedEngine> engines) {
    Map<String, LayerRange> ranges = new LinkedHashMap<>();
    pipelines(engines).forEach(pipeline -> ranges.putAll(ranges(pipeline)));
    return ranges;
  }

  /** Returns the pipelines; engines that are best left out are in none. */
  List<List<PlacedEngine>> pipelines(List<PlacedEngine> engines) {
    List<PlacedEngine> sorted = new ArrayList<>(engines);
    sorted.removeIf(engine -> estimator.maxLayers(engine.accelerator()) == 0);
    // Engines of the same data centre stay together, so that a pipeline seldom leaves it.
    sorted.sort(
        Comparator.comparing(PlacedEngine::dataCentre)
            .thenComparingDouble(engine -> engine.accelerator().stepFactor())
            .thenComparingDouble(engine -> -engine.accelerator().megabytes())
            .thenComparing(PlacedEngine::id));
    int maxPipelines = maxPipelines(sorted);
    double[][] rates = segmentRates(sorted);
    double ratePerLayer = SPARE_WEIGHT * estimator.spareRatePerLayer(sorted);
    double[] spareRates =
        sorted.stream()
            .mapToDouble(e -> ratePerLayer * estimator.balancedLayers(e.accelerator()))
            .toArray();
    @Nullable Division[][] divisions = divisions(rates, spareRates, maxPipelines);
    List<List<PlacedEngine>> best = List.of();
    for (int count = 1; count <= maxPipelines; count++) {
      List<List<PlacedEngine>> fastest = new ArrayList<>();
      divisions(divisions, count, sorted.size())
          .forEach(division -> fastest.add(sorted.subList(division.start(), division.end())));
      for (List<List<PlacedEngine>> candidate : List.of(fastest, dealt(sorted, count))) {
        if (score(candidate, sorted) > score(best, sorted)) {
          best = candidate;
        }
      }
    }
    return best;
  }

  /**
   * Returns pipelines of about equal speed: each takes one of several consecutive engines, in turns
   * that go back and forth.
   */
  private static List<List<PlacedEngine>> dealt(List<PlacedEngine> engines, int pipelines) {
    List<List<PlacedEngine>> result = new ArrayList<>();
    for (int i = 0; i < pipelines; i++) {
      result.add(new ArrayList<>());
    }
    for (int i = 0; i < engines.size(); i++) {
      int turn = i % (2 * pipelines);
      result.get(turn < pipelines ? turn : 2 * pipelines - 1 - turn).add(engines.get(i));
    }
    return result;
  }

  private int maxPipelines(List<PlacedEngine> engines) {
    int layers = 0;
    for (PlacedEngine engine : engines) {
      layers += estimator.maxLayers(engine.accelerator());
    }
    return layers / model.layers();
  }

  /** Returns the request rate of a pipeline of the engines from one index up to another. */
  private double[][] segmentRates(List<PlacedEngine> engines) {
    List<Accelerator> kinds = engines.stream().map(PlacedEngine::accelerator).distinct().toList();
    double[][] rates = new double[engines.size()][engines.size() + 1];
    for (int from = 0; from < engines.size(); from++) {
      int[] counts = new int[kinds.size()];
      int end = Math.min(engines.size(), from + PipelineEstimator.MAX_ENGINES);
      for (int to = from + 1; to <= end; to++) {
        counts[kinds.indexOf(engines.get(to - 1).accelerator())]++;
        rates[from][to] = estimator.estimate(kinds, counts).requestsPerSecond();
      }
    }
    return rates;
  }

  /** Returns the divisions with the highest rate, by number of pipelines and of engines. */
  private static @Nullable Division[][] divisions(
      double[][] rates, double[] spareRates, int maxPipelines) {
    int engines = rates.length;
    @Nullable Division[][] best = new @Nullable Division[maxPipelines + 1][engines + 1];
    double spare = 0;
    for (int to = 0; to <= engines; to++) {
      best[0][to] = new Division(spare, 0, 0);
      spare += to < engines ? spareRates[to] : 0;
    }
    for (int pipelines = 1; pipelines <= maxPipelines; pipelines++) {
      for (int to = pipelines; to <= engines; to++) {
        Division without = best[pipelines][to - 1];
        Division current =
            without == null
                ? null
                : new Division(without.rate() + spareRates[to - 1], without.start(), without.end());
        int first = Math.max(pipelines - 1, to - PipelineEstimator.MAX_ENGINES);
        for (int from = first; from < to; from++) {
          Division before = best[pipelines - 1][from];
          double rate = rates[from][to];
          if (before == null || rate <= 0) {
            continue;
          }
          if (current == null || before.rate() + rate > current.rate()) {
            current = new Division(before.rate() + rate, from, to);
          }
        }
        best[pipelines][to] = current;
      }
    }
    return best;
  }

  /** Returns the pipelines of the best division, or nothing if there is none. */
  private static List<Division> divisions(
      @Nullable Division[][] divisions, int pipelines, int engines) {
    List<Division> result = new ArrayList<>();
    int to = engines;
    for (int pipeline = pipelines; pipeline > 0; pipeline--) {
      Division last = divisions[pipeline][to];
      if (last == null) {
        return List.of();
      }
      result.add(last);
      to = last.start();
    }
    return result;
  }

  /**
   * Returns the request rate with all engines, in addition that without the best pipeline, and the
   * weighted rate of the spare engines.
   */
  private double score(List<List<PlacedEngine>> pipelines, List<PlacedEngine> engines) {
    double total = 0;
    double highest = 0;
    double spare = 0;
    double ratePerLayer = estimator.spareRatePerLayer(engines);
    for (PlacedEngine engine : engines) {
      spare += ratePerLayer * estimator.balancedLayers(engine.accelerator());
    }
    for (List<PlacedEngine> pipeline : pipelines) {
      double rate = estimator.estimate(pipeline).requestsPerSecond();
      if (rate == 0) {
        return 0;
      }
      total += rate;
      highest = Math.max(highest, rate);
      for (PlacedEngine engine : pipeline) {
        spare -= ratePerLayer * estimator.balancedLayers(engine.accelerator());
      }
    }
    return pipelines.isEmpty() ? 0 : total + LOSS_WEIGHT * (total - highest) + SPARE_WEIGHT * spare;
  }

  /** Returns the ranges, by target identity, of the engines of a pipeline, in the given order. */
  Map<String, LayerRange> ranges(List<PlacedEngine> pipeline) {
    Map<String, LayerRange> ranges = new LinkedHashMap<>();
    int[] layers = estimator.layersByEngine(pipeline);
    int from = 0;
    for (int i = 0; i < layers.length; i++) {
      if (layers[i] > 0) {
        ranges.put(pipeline.get(i).id(), new LayerRange(from, from + layers[i]));
      }
      from += layers[i];
    }
    return ranges;
  }
}
