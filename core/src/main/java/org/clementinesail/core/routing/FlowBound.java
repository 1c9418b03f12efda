package org.clementinesail.core.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetRecord;
import org.jspecify.annotations.Nullable;

/**
 * Computes the highest token rate that the engines of a model can sustain together.
 *
 * <p>The bound is a maximum flow (Edmonds and Karp, 1972): nodes are layer boundaries, and each
 * engine is an edge across its layers with its tokens per second as capacity.
 */
public final class FlowBound {
  /**
   * Capacity in tokens per second that counts as none, as rounding errors leave small remainders.
   */
  private static final double NEGLIGIBLE_FLOW = 1e-9;

  private final Map<Integer, Map<Integer, Double>> capacity = new HashMap<>();

  private FlowBound() {}

  /**
   * Returns the bound in tokens per second, or 0 if the engines do not cover all layers.
   *
   * @param pool engines of a model; an engine that may run part of its range counts as if it always
   *     ran the whole range
   */
  public static double tokensPerSecond(ModelPool pool) {
    FlowBound flow = new FlowBound();
    for (TargetRecord target : pool.targets()) {
      TargetDescription.Engine engine = ModelPool.engine(target);
      double tokens = engine.layersPerSecond() / engine.layers().size();
      flow.addCapacity(engine.layers().from(), engine.layers().to(), tokens);
    }
    return flow.maxFlow(0, pool.modelLayers());
  }

  private void addCapacity(int from, int to, double tokens) {
    capacity.computeIfAbsent(from, key -> new HashMap<>()).merge(to, tokens, Double::sum);
  }

  private double maxFlow(int source, int sink) {
    double total = 0;
    Map<Integer, Integer> path = shortestPath(source, sink);
    while (path != null) {
      double bottleneck = bottleneck(path, source, sink);
      for (int node = sink; node != source; node = parent(path, node)) {
        addCapacity(parent(path, node), node, -bottleneck);
        addCapacity(node, parent(path, node), bottleneck);
      }
      total += bottleneck;
      path = shortestPath(source, sink);
    }
    return total;
  }

  /** Returns the predecessor of each reached boundary, or null if the sink is not reachable. */
  private @Nullable Map<Integer, Integer> shortestPath(int source, int sink) {
    Map<Integer, Integer> parents = new LinkedHashMap<>();
    Deque<Integer> queue = new ArrayDeque<>();
    queue.add(source);
    parents.put(source, source);
    while (!queue.isEmpty()) {
      int node = queue.remove();
      for (Map.Entry<Integer, Double> edge : capacity.getOrDefault(node, Map.of()).entrySet()) {
        if (edge.getValue() > NEGLIGIBLE_FLOW && parents.putIfAbsent(edge.getKey(), node) == null) {
          queue.add(edge.getKey());
        }
      }
    }
    return parents.containsKey(sink) && source != sink ? parents : null;
  }

  private double bottleneck(Map<Integer, Integer> path, int source, int sink) {
    double bottleneck = Double.MAX_VALUE;
    for (int node = sink; node != source; node = parent(path, node)) {
      Map<Integer, Double> edges = capacity.getOrDefault(parent(path, node), Map.of());
      bottleneck = Math.min(bottleneck, edges.getOrDefault(node, 0.0));
    }
    return bottleneck;
  }

  private static int parent(Map<Integer, Integer> path, int node) {
    return path.getOrDefault(node, node);
  }
}
