package org.clementinesail.core.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetRecord;
import org.jspecify.annotations.Nullable;

/**
 * Plans chains of engines that run every layer of a range exactly once, in order.
 *
 * <p>Among engines that can run the same layers, the planner takes the fastest of a few random
 * candidates, so that VMs with the same outdated load reports do not all choose the same engine
 * (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Across layer
 * ranges it takes the chain with the least expected time, by dynamic programming over layer
 * boundaries.
 */
public final class ChainPlanner {
  private static final int CANDIDATES_PER_GROUP = 3;

  private final LatencyEstimator estimator;
  private final RandomGenerator random;

  /**
   * The fastest chain found so far that ends at a layer boundary.
   *
   * @param seconds expected time of the whole chain
   * @param lastStage last stage, or null for the empty chain
   * @param lastFrom first layer of the last stage
   */
  private record PartialChain(double seconds, @Nullable Stage lastStage, int lastFrom) {}

  private record Candidate(TargetRecord target, double seconds) {}

  /**
   * Creates a planner.
   *
   * @param estimator estimates the time that a target takes
   * @param random selects the candidates within a group
   */
  public ChainPlanner(LatencyEstimator estimator, RandomGenerator random) {
    this.estimator = estimator;
    this.random = random;
  }

  /**
   * Plans a chain over the given layers.
   *
   * @param pool engines of the model
   * @param layers layers to run
   * @param excluded names of targets that must not be used
   * @param preferredDataCentre data centre to prefer, or null; targets elsewhere count as twice as
   *     slow
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return the stages in layer order, or empty if the allowed engines do not cover the layers
   */
  public Optional<List<Stage>> plan(
      ModelPool pool,
      LayerRange layers,
      Set<String> excluded,
      @Nullable String preferredDataCentre,
      long now) {
    Map<Integer, PartialChain> best = new HashMap<>();
    best.put(layers.from(), new PartialChain(0, null, layers.from()));
    for (int boundary : pool.boundaries()) {
      PartialChain reached = best.get(boundary);
      if (reached == null || boundary >= layers.to()) {
        continue;
      }
      for (ModelPool.Group group : pool.groupsFrom(boundary)) {
        if (group.layers().to() <= layers.to()) {
          extend(best, reached, group, excluded, preferredDataCentre, now);
        }
      }
    }
    return backtrack(best, layers);
  }

  private void extend(
      Map<Integer, PartialChain> best,
      PartialChain reached,
      ModelPool.Group group,
      Set<String> excluded,
      @Nullable String preferred,
      long now) {
    Candidate candidate = sampleBest(group, excluded, preferred, now);
    if (candidate == null) {
      return;
    }
    LayerRange range = group.layers();
    double seconds = reached.seconds() + candidate.seconds();
    PartialChain current = best.get(range.to());
    if (current == null || seconds < current.seconds()) {
      Stage stage = new Stage(candidate.target().description(), range);
      best.put(range.to(), new PartialChain(seconds, stage, range.from()));
    }
  }

  private @Nullable Candidate sampleBest(
      ModelPool.Group group, Set<String> excluded, @Nullable String preferred, long now) {
    List<TargetRecord> targets = group.targets();
    Candidate best = null;
    int start = random.nextInt(targets.size());
    int stride = 1 + random.nextInt(targets.size());
    int sampled = 0;
    for (int i = 0; i < targets.size() && sampled < CANDIDATES_PER_GROUP; i++) {
      TargetRecord target = targets.get((int) ((start + (long) i * stride) % targets.size()));
      if (excluded.contains(target.name())) {
        continue;
      }
      sampled++;
      double seconds = weightedSeconds(target, group.layers().size(), preferred, now);
      if (best == null || seconds < best.seconds()) {
        best = new Candidate(target, seconds);
      }
    }
    // The stride can skip allowed targets.
    return best != null ? best : firstNotExcluded(group, excluded, now);
  }

  private @Nullable Candidate firstNotExcluded(
      ModelPool.Group group, Set<String> excluded, long now) {
    for (TargetRecord target : group.targets()) {
      if (!excluded.contains(target.name())) {
        return new Candidate(target, estimator.expectedSeconds(target, group.layers().size(), now));
      }
    }
    return null;
  }

  private double weightedSeconds(
      TargetRecord target, int layers, @Nullable String preferred, long now) {
    double seconds = estimator.expectedSeconds(target, layers, now);
    boolean remote = preferred != null && !preferred.equals(target.description().dataCentre());
    return remote ? seconds * 2 : seconds;
  }

  private static Optional<List<Stage>> backtrack(
      Map<Integer, PartialChain> best, LayerRange layers) {
    List<Stage> stages = new ArrayList<>();
    int boundary = layers.to();
    while (boundary != layers.from()) {
      PartialChain partialChain = best.get(boundary);
      if (partialChain == null || partialChain.lastStage() == null) {
        return Optional.empty();
      }
      stages.add(partialChain.lastStage());
      boundary = partialChain.lastFrom();
    }
    Collections.reverse(stages);
    return Optional.of(stages);
  }
}
