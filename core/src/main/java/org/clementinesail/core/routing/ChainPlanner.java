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
 * <p>Within a group of equal engines the better of a few drawn at random is taken, which keeps VMs
 * with stale reports from all choosing the same one (Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", 2001). Across groups the path with the least expected time is taken.
 */
public final class ChainPlanner {
  private static final int CANDIDATES_PER_GROUP = 3;

  private final LatencyEstimator estimator;
  private final RandomGenerator random;

  /** The cheapest way found so far to a layer boundary. */
  private record PartialChain(double seconds, @Nullable Stage lastStage, int lastFrom) {}

  private record Candidate(TargetRecord target, double seconds) {}

  /**
   * Creates a planner.
   *
   * @param estimator estimate of a target's time
   * @param random source of the draws
   */
  public ChainPlanner(LatencyEstimator estimator, RandomGenerator random) {
    this.estimator = estimator;
    this.random = random;
  }

  /**
   * Plans a chain over the given layers.
   *
   * @param pool engines of the model
   * @param layers the layers to run
   * @param excluded names of targets not to be used
   * @param preferredDataCentre data centre to prefer, or null
   * @param now present time
   * @return the stages in order, or empty if the engines do not cover the layers
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
      PartialChain here = best.get(boundary);
      if (here == null || boundary >= layers.to()) {
        continue;
      }
      for (ModelPool.Group group : pool.groupsFrom(boundary)) {
        if (group.layers().to() <= layers.to()) {
          extend(best, here, group, excluded, preferredDataCentre, now);
        }
      }
    }
    return backtrack(best, layers);
  }

  private void extend(
      Map<Integer, PartialChain> best,
      PartialChain here,
      ModelPool.Group group,
      Set<String> excluded,
      @Nullable String preferred,
      long now) {
    Candidate pick = sampleBest(group, excluded, preferred, now);
    if (pick == null) {
      return;
    }
    LayerRange range = group.layers();
    double seconds = here.seconds() + pick.seconds();
    PartialChain known = best.get(range.to());
    if (known == null || seconds < known.seconds()) {
      Stage stage = new Stage(pick.target().description(), range);
      best.put(range.to(), new PartialChain(seconds, stage, range.from()));
    }
  }

  private @Nullable Candidate sampleBest(
      ModelPool.Group group, Set<String> excluded, @Nullable String preferred, long now) {
    List<TargetRecord> targets = group.targets();
    Candidate best = null;
    int start = random.nextInt(targets.size());
    int stride = 1 + random.nextInt(targets.size());
    int drawn = 0;
    for (int i = 0; i < targets.size() && drawn < CANDIDATES_PER_GROUP; i++) {
      TargetRecord target = targets.get((int) ((start + (long) i * stride) % targets.size()));
      if (excluded.contains(target.name())) {
        continue;
      }
      drawn++;
      double seconds = weightedSeconds(target, group.layers().size(), preferred, now);
      if (best == null || seconds < best.seconds()) {
        best = new Candidate(target, seconds);
      }
    }
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
    boolean away = preferred != null && !preferred.equals(target.description().dataCentre());
    return away ? seconds * 2 : seconds;
  }

  private static Optional<List<Stage>> backtrack(
      Map<Integer, PartialChain> best, LayerRange layers) {
    List<Stage> stages = new ArrayList<>();
    int at = layers.to();
    while (at != layers.from()) {
      PartialChain arrival = best.get(at);
      if (arrival == null || arrival.lastStage() == null) {
        return Optional.empty();
      }
      stages.add(arrival.lastStage());
      at = arrival.lastFrom();
    }
    Collections.reverse(stages);
    return Optional.of(stages);
  }
}
