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
import org.clementinesail.core.targets.TargetFact;
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

  private final TargetScore score;
  private final RandomGenerator random;

  /** The cheapest way found so far to a layer boundary. */
  private record Arrival(double seconds, @Nullable Stage last, int from) {}

  private record Pick(TargetFact target, double seconds) {}

  /**
   * Creates a planner.
   *
   * @param score estimate of a target's time
   * @param random source of the draws
   */
  public ChainPlanner(TargetScore score, RandomGenerator random) {
    this.score = score;
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
    Map<Integer, Arrival> best = new HashMap<>();
    best.put(layers.from(), new Arrival(0, null, layers.from()));
    for (int boundary : pool.boundaries()) {
      Arrival here = best.get(boundary);
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
      Map<Integer, Arrival> best,
      Arrival here,
      ModelPool.Group group,
      Set<String> excluded,
      @Nullable String preferred,
      long now) {
    Pick pick = draw(group, excluded, preferred, now);
    if (pick == null) {
      return;
    }
    LayerRange range = group.layers();
    double seconds = here.seconds() + pick.seconds();
    Arrival known = best.get(range.to());
    if (known == null || seconds < known.seconds()) {
      Stage stage = new Stage(pick.target().description(), range);
      best.put(range.to(), new Arrival(seconds, stage, range.from()));
    }
  }

  private @Nullable Pick draw(
      ModelPool.Group group, Set<String> excluded, @Nullable String preferred, long now) {
    List<TargetFact> targets = group.targets();
    Pick best = null;
    int start = random.nextInt(targets.size());
    int stride = 1 + random.nextInt(targets.size());
    int drawn = 0;
    for (int i = 0; i < targets.size() && drawn < CANDIDATES_PER_GROUP; i++) {
      TargetFact target = targets.get((int) ((start + (long) i * stride) % targets.size()));
      if (excluded.contains(target.name())) {
        continue;
      }
      drawn++;
      double seconds = estimate(target, group.layers().size(), preferred, now);
      if (best == null || seconds < best.seconds()) {
        best = new Pick(target, seconds);
      }
    }
    return best != null ? best : firstAllowed(group, excluded, now);
  }

  private @Nullable Pick firstAllowed(ModelPool.Group group, Set<String> excluded, long now) {
    for (TargetFact target : group.targets()) {
      if (!excluded.contains(target.name())) {
        return new Pick(target, score.seconds(target, group.layers().size(), now));
      }
    }
    return null;
  }

  private double estimate(TargetFact target, int layers, @Nullable String preferred, long now) {
    double seconds = score.seconds(target, layers, now);
    boolean away = preferred != null && !preferred.equals(target.description().dataCentre());
    return away ? seconds * 2 : seconds;
  }

  private static Optional<List<Stage>> backtrack(Map<Integer, Arrival> best, LayerRange layers) {
    List<Stage> stages = new ArrayList<>();
    int at = layers.to();
    while (at != layers.from()) {
      Arrival arrival = best.get(at);
      if (arrival == null || arrival.last() == null) {
        return Optional.empty();
      }
      stages.add(arrival.last());
      at = arrival.from();
    }
    Collections.reverse(stages);
    return Optional.of(stages);
  }
}
