package org.clementinesail.bench;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.clementinesail.core.routing.ChainPlanner;
import org.clementinesail.core.routing.LatencyEstimator;
import org.clementinesail.core.routing.ModelPool;
import org.clementinesail.core.routing.ObservedLoad;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetRecord;

/** Creates the production routing policy and the baselines that it is compared with. */
final class Policies {
  private Policies() {}

  private static List<Stage> plan(ChainPlanner planner, ModelPool pool, long now) {
    LayerRange all = new LayerRange(0, pool.modelLayers());
    return planner
        .plan(pool, all, Set.of(), null, now)
        .orElseThrow(() -> new IllegalStateException("the engines do not cover the layers"));
  }

  /** Picks engines at random; engines of the same layers are equally likely. */
  static SimulatedPool.PolicyFactory random(long seed) {
    return vm -> {
      Random random = new Random(seed + vm);
      ChainPlanner planner = new ChainPlanner((t, layers, now) -> random.nextDouble(), random);
      return (pool, now) -> plan(planner, pool, now);
    };
  }

  /**
   * Picks engines by their load reports: a stage costs (1 + running and queued requests) times its
   * layers.
   */
  static SimulatedPool.PolicyFactory leastReported(long seed) {
    return vm -> {
      LatencyEstimator byReport = (target, layers, now) -> (1 + reportedRequests(target)) * layers;
      ChainPlanner planner = new ChainPlanner(byReport, new Random(seed + vm));
      return (pool, now) -> plan(planner, pool, now);
    };
  }

  private static double reportedRequests(TargetRecord target) {
    return target.load().running() + target.load().queued();
  }

  /** Uses the planner and the load estimates of the server. */
  static SimulatedPool.PolicyFactory production(long seed) {
    return vm -> new ProductionPolicy(new Random(seed + vm));
  }

  private static final class ProductionPolicy implements SimulatedPool.Policy {
    private final ObservedLoad observed = new ObservedLoad(() -> SimulatedPool.VMS);
    private final ChainPlanner planner;

    ProductionPolicy(Random random) {
      this.planner = new ChainPlanner(observed, random);
    }

    @Override
    public List<Stage> choose(ModelPool pool, long now) {
      return plan(planner, pool, now);
    }

    @Override
    public void assigned(List<Stage> chain) {
      chain.forEach(stage -> observed.recordAssignment(stage.target().name()));
    }

    @Override
    public void released(List<Stage> chain) {
      chain.forEach(stage -> observed.recordRelease(stage.target().name()));
    }

    @Override
    public void stepFinished(String target, double overheadSeconds) {
      observed.recordOverhead(target, overheadSeconds);
    }
  }
}
