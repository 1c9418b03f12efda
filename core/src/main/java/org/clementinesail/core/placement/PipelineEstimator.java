package org.clementinesail.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.clementinesail.core.desired.EngineModel;
import org.clementinesail.core.desired.EngineModel.Accelerator;

/**
 * Estimates what a pipeline carries: engines that together hold all layers of the model once.
 *
 * <p>The memory that weights leave free holds the KV caches of the requests in progress. More
 * layers on an engine leave room for fewer requests, so the estimate first finds the highest number
 * of requests for which the engines still hold all layers, and then the time that a mean request
 * takes. Requests, tokens and times come from the desired state.
 */
final class PipelineEstimator {
  private static final double MEGA = 1e6;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

  /** A token waits on average for half of the pass in progress at an engine, then for its own. */
  private static final double PASSES_PER_STEP = 1.5;

  /** Time to pass a token to the next engine in the same data centre, in milliseconds. */
  private static final double HOP_MILLIS = 0.2;

  /** An engine that keeps memory for fewer requests than this is not worth a place on a path. */
  private static final int MIN_CONCURRENCY = 4;

  /** Most engines of a path; targets refuse requests with longer ones. */
  static final int MAX_ENGINES = 32;

  private final EngineModel model;
  private final double kvMegabytesPerLayer;
  private final int balancedConcurrency;

  /**
   * What a pipeline carries.
   *
   * @param concurrency number of mean requests that fit into the memory of every engine at a time,
   *     at most the balanced number; 0 if the engines cannot hold all layers
   * @param requestsPerSecond mean requests completed per second at that concurrency
   */
  record Estimate(int concurrency, double requestsPerSecond) {}

  /**
   * Creates an estimator.
   *
   * @param model layers, memory and speed of the model's engines
   */
  PipelineEstimator(EngineModel model) {
    this.model = model;
    int tokens = Math.max(1, model.meanPromptTokens() + model.meanAnswerTokens());
    this.kvMegabytesPerLayer = tokens * model.kvBytesPerToken() / model.layers() / MEGA;
    this.balancedConcurrency = balancedConcurrency();
  }

  /**
   * Returns the concurrency x with the most requests per second for the memory of a pipeline. With
   * W for the memory of the weights, K for that of a request, s for the time of a step and b for
   * what each request adds to it, the rate for the memory is x / ((W + Kx) (s + bx)), which is
   * highest where x² = Ws / Kb.
   */
  private int balancedConcurrency() {
    double growth = requestStepMillis() * kvMegabytesPerLayer;
    double balanced =
        growth <= 0
            ? model.slots()
            : Math.sqrt(model.layerMegabytes() * model.stepMillis() / growth);
    return (int)
        Math.max(Math.min(MIN_CONCURRENCY, model.slots()), Math.min(model.slots(), balanced));
  }

  /** Returns what a request in progress adds to each step of all layers. */
  private double requestStepMillis() {
    double contextThousands =
        (model.meanPromptTokens() + model.meanAnswerTokens()) / TOKENS_PER_CONTEXT_UNIT;
    return model.perRequestMillis() + model.contextMillisPerThousandTokens() * contextThousands;
  }

  /** Returns how many layers a kind holds in a pipeline of balanced memory. */
  int balancedLayers(Accelerator kind) {
    return Math.max(1, layersBeside(kind, balancedConcurrency));
  }

  /**
   * Returns the requests per second that each layer on a spare engine adds: its share of a pipeline
   * with the mean speed of the given engines.
   */
  double spareRatePerLayer(List<PlacedEngine> engines) {
    double layers = 0;
    double millis = 0;
    double stepMillis = model.stepMillis() + requestStepMillis();
    for (PlacedEngine engine : engines) {
      Accelerator kind = engine.accelerator();
      int balanced = balancedLayers(kind);
      layers += balanced;
      millis +=
          balanced
              * (model.meanAnswerTokens() * kind.stepFactor() * stepMillis * PASSES_PER_STEP
                  + kind.prefillFactor() * prefillMillis());
    }
    double meanMillis = Math.max(1, millis / Math.max(1, layers));
    return balancedConcurrency / meanMillis * MILLIS_PER_SECOND / model.layers();
  }

  private double prefillMillis() {
    return model.meanPromptTokens() / model.prefillTokensPerSecond() * MILLIS_PER_SECOND;
  }

  /** Returns how many layers a kind holds besides the KV caches of some mean requests. */
  int layersBeside(Accelerator kind, int requests) {
    double megabytesPerLayer = model.layerMegabytes() + requests * kvMegabytesPerLayer;
    return Math.min(model.layers(), (int) Math.floor(kind.megabytes() / megabytesPerLayer));
  }

  /** Returns the most layers that a kind may hold; 0 if it is too small for any. */
  int maxLayers(Accelerator kind) {
    return layersBeside(kind, MIN_CONCURRENCY);
  }

  /** Returns whether engines can hold all layers together, each with memory for some requests. */
  boolean canHoldModel(List<PlacedEngine> engines) {
    int layers = 0;
    for (PlacedEngine engine : engines) {
      layers += maxLayers(engine.accelerator());
    }
    return layers >= model.layers();
  }

  /** Returns how many mean requests fit beside the layers of an engine, at most its slots. */
  int concurrency(Accelerator kind, int layers) {
    double free = kind.megabytes() - layers * model.layerMegabytes();
    double requests = free / (layers * kvMegabytesPerLayer);
    return (int) Math.max(0, Math.min(model.slots(), requests));
  }

  /**
   * Returns the estimate for a pipeline.
   *
   * @param kinds the different kinds of accelerators
   * @param counts number of engines of each kind
   */
  Estimate estimate(List<Accelerator> kinds, int[] counts) {
    int engines = 0;
    for (int count : counts) {
      engines += count;
    }
    int concurrency = engines > MAX_ENGINES ? -1 : maxConcurrency(kinds, counts);
    if (concurrency < MIN_CONCURRENCY) {
      return new Estimate(0, 0);
    }
    int[] layers = layersByKind(kinds, counts, concurrency);
    // A request is at one engine at a time, so each engine sees its share of them in a pass.
    double batch = Math.max(1, (double) concurrency / engines);
    double stepMillis = model.stepMillis() + batch * requestStepMillis();
    double prefillMillis = prefillMillis();
    double tokenMillis = engines * HOP_MILLIS;
    double totalMillis = 0;
    for (int i = 0; i < layers.length; i++) {
      double share = (double) layers[i] / model.layers();
      tokenMillis += share * kinds.get(i).stepFactor() * stepMillis * PASSES_PER_STEP;
      totalMillis += share * kinds.get(i).prefillFactor() * prefillMillis;
    }
    totalMillis += tokenMillis * Math.max(1, model.meanAnswerTokens());
    return new Estimate(concurrency, concurrency / totalMillis * MILLIS_PER_SECOND);
  }

  /** Returns the estimate for a pipeline of the given engines. */
  Estimate estimate(List<PlacedEngine> engines) {
    List<Accelerator> kinds = kinds(engines);
    return estimate(kinds, counts(engines, kinds));
  }

  private static List<Accelerator> kinds(List<PlacedEngine> engines) {
    return engines.stream().map(PlacedEngine::accelerator).distinct().toList();
  }

  private static int[] counts(List<PlacedEngine> engines, List<Accelerator> kinds) {
    int[] counts = new int[kinds.size()];
    engines.forEach(engine -> counts[kinds.indexOf(engine.accelerator())]++);
    return counts;
  }

  /**
   * Returns the layers of each engine of a pipeline, in the given order, at the highest concurrency
   * that its memory allows. Slow engines hold fewer layers if there is a choice.
   *
   * @throws IllegalArgumentException if the engines cannot hold all layers
   */
  int[] layersByEngine(List<PlacedEngine> engines) {
    List<Accelerator> kinds = kinds(engines);
    int[] counts = counts(engines, kinds);
    int concurrency = maxConcurrency(kinds, counts);
    if (concurrency < MIN_CONCURRENCY) {
      throw new IllegalArgumentException("the engines cannot hold all layers: " + engines);
    }
    int[] byKind = layersByKind(kinds, counts, concurrency);
    int[] result = new int[engines.size()];
    int[] placed = new int[counts.length];
    for (int i = 0; i < result.length; i++) {
      int kind = kinds.indexOf(engines.get(i).accelerator());
      // Spreads the layers of a kind as evenly as whole layers allow.
      int before = (int) ((long) byKind[kind] * placed[kind] / counts[kind]);
      placed[kind]++;
      result[i] = (int) ((long) byKind[kind] * placed[kind] / counts[kind]) - before;
    }
    return result;
  }

  /** Returns the highest useful concurrency at which the engines hold all layers; -1 if none. */
  private int maxConcurrency(List<Accelerator> kinds, int[] counts) {
    int low = -1;
    int high = balancedConcurrency;
    while (low < high) {
      int middle = (low + high + 1) >> 1;
      if (capacity(kinds, counts, middle) >= model.layers()) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }

  private int capacity(List<Accelerator> kinds, int[] counts, int concurrency) {
    int layers = 0;
    for (int i = 0; i < counts.length; i++) {
      layers += counts[i] * layersBeside(kinds.get(i), concurrency);
    }
    return layers;
  }

  /** Returns the layers of each kind: all layers in total, at least one for each engine. */
  private int[] layersByKind(List<Accelerator> kinds, int[] counts, int concurrency) {
    int[] layers = new int[counts.length];
    int surplus = -model.layers();
    List<Integer> slowestFirst = new ArrayList<>();
    for (int i = 0; i < counts.length; i++) {
      layers[i] = counts[i] * layersBeside(kinds.get(i), concurrency);
      surplus += layers[i];
      slowestFirst.add(i);
    }
    slowestFirst.sort(Comparator.comparingDouble(i -> -kinds.get(i).stepFactor()));
    for (int kind : slowestFirst) {
      int removed = Math.max(0, Math.min(surplus, layers[kind] - counts[kind]));
      layers[kind] -= removed;
      surplus -= removed;
    }
    return layers;
  }
}
