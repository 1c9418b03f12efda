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
 * The largest flow of tokens that the engines of a model can carry, as a maximum flow through the
 * layers (Edmonds and Karp, 1972).
 *
 * <p>Nodes are layer boundaries; an engine is an edge over its layers with its tokens a second.
 */
public final class FlowBound {
  private static final double NEGLIGIBLE_FLOW = 1e-9;

  private final Map<Integer, Map<Integer, Double>> capacity = new HashMap<>();

  private FlowBound() {}

  /**
   * Returns the bound in tokens a second; 0 if the engines do not cover the layers.
   *
   * @param pool engines of a model; an engine that may run part of its range counts with its whole
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
      double width = bottleneck(path, source, sink);
      for (int at = sink; at != source; at = parent(path, at)) {
        addCapacity(parent(path, at), at, -width);
        addCapacity(at, parent(path, at), width);
      }
      total += width;
      path = shortestPath(source, sink);
    }
    return total;
  }

  /** Returns each reached boundary's predecessor, or null if the sink is not reached. */
  private @Nullable Map<Integer, Integer> shortestPath(int source, int sink) {
    Map<Integer, Integer> parents = new LinkedHashMap<>();
    Deque<Integer> open = new ArrayDeque<>();
    open.add(source);
    parents.put(source, source);
    while (!open.isEmpty()) {
      int at = open.remove();
      for (Map.Entry<Integer, Double> edge : capacity.getOrDefault(at, Map.of()).entrySet()) {
        if (edge.getValue() > NEGLIGIBLE_FLOW && parents.putIfAbsent(edge.getKey(), at) == null) {
          open.add(edge.getKey());
        }
      }
    }
    return parents.containsKey(sink) && source != sink ? parents : null;
  }

  private double bottleneck(Map<Integer, Integer> path, int source, int sink) {
    double width = Double.MAX_VALUE;
    for (int at = sink; at != source; at = parent(path, at)) {
      Map<Integer, Double> edges = capacity.getOrDefault(parent(path, at), Map.of());
      width = Math.min(width, edges.getOrDefault(at, 0.0));
    }
    return width;
  }

  private static int parent(Map<Integer, Integer> path, int at) {
    return path.getOrDefault(at, at);
  }
}
