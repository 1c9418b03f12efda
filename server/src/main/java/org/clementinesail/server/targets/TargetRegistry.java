package org.clementinesail.server.targets;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.routing.ChainPlanner;
import org.clementinesail.core.routing.FlowBound;
import org.clementinesail.core.routing.ModelPool;
import org.clementinesail.core.routing.ObservedLoad;
import org.clementinesail.core.routing.OutlierDetector;
import org.clementinesail.core.routing.Stage;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetDirectory;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/** The targets that this VM knows of, and its choices among them; safe for use by many threads. */
public final class TargetRegistry {
  private final TargetDirectory directory = new TargetDirectory();
  private final OutlierDetector outliers = new OutlierDetector();
  private final ObservedLoad observed;
  private final ChainPlanner planner;
  private final Supplier<RuleSet> rules;
  private final Map<String, ModelPool> models = new HashMap<>();
  private final Map<String, List<TargetRecord>> services = new HashMap<>();

  /**
   * Creates a registry without targets.
   *
   * @param vms number of VMs that share the targets
   * @param rules the rules in force
   * @param random source of draws
   */
  public TargetRegistry(IntSupplier vms, Supplier<RuleSet> rules, RandomGenerator random) {
    this.observed = new ObservedLoad(vms);
    this.rules = rules;
    this.planner =
        new ChainPlanner(
            (target, layers, now) -> observed.expectedSeconds(newest(target), layers, now), random);
  }

  /**
   * Takes a statement that a target made to this VM.
   *
   * @param fact the statement
   */
  public synchronized void announced(TargetRecord fact) {
    note(fact, directory.mergeAnnouncement(fact));
  }

  /**
   * Takes a load report that a target made to this VM.
   *
   * @param name name of the target
   * @param incarnation incarnation that reports
   * @param sequence sequence number of the report
   * @param load the report
   * @return whether the target is known in this incarnation
   */
  public synchronized boolean reported(
      String name, long incarnation, long sequence, TargetLoad load) {
    directory.updateLoad(name, incarnation, sequence, load);
    return directory.find(name).filter(fact -> fact.incarnation() == incarnation).isPresent();
  }

  /**
   * Notes that a target leaves.
   *
   * @param name name of the target
   * @param incarnation incarnation that leaves
   * @param sequence sequence number of the statement
   * @return whether the target is known in this incarnation
   */
  public synchronized boolean leaving(String name, long incarnation, long sequence) {
    Optional<TargetRecord> held =
        directory.find(name).filter(fact -> fact.incarnation() == incarnation);
    held.ifPresent(
        fact ->
            announced(
                new TargetRecord(
                    fact.description(),
                    incarnation,
                    Math.max(sequence, fact.sequence() + 1),
                    true,
                    fact.load(),
                    fact.leaseDeadline())));
    return held.isPresent();
  }

  /**
   * Takes statements that came from another VM.
   *
   * @param facts the statements
   */
  public synchronized void merge(Collection<TargetRecord> facts) {
    for (TargetRecord fact : facts) {
      note(fact, directory.merge(fact));
    }
  }

  /** Forgets targets whose lease has lapsed. */
  public synchronized void expire() {
    List<String> lapsed = directory.expire(System.nanoTime());
    for (String name : lapsed) {
      observed.removeIfIdle(name);
      outliers.remove(name);
      Logger.info("target {} has not renewed its lease", name);
    }
    if (!lapsed.isEmpty()) {
      regroup();
    }
  }

  /** Groups the targets anew, after the rules have changed. */
  public synchronized void regroup() {
    models.clear();
    services.clear();
    Map<String, List<TargetRecord>> engines = new HashMap<>();
    RuleSet inForce = rules.get();
    for (TargetRecord fact : directory.records()) {
      if (fact.leaving() || inForce.drained(fact.name())) {
        continue;
      }
      Map<String, List<TargetRecord>> group =
          fact.description().engine() == null ? services : engines;
      group.computeIfAbsent(fact.description().serves(), key -> new ArrayList<>()).add(fact);
    }
    engines.forEach((model, members) -> models.put(model, new ModelPool(members)));
  }

  /** Returns the statements to send to all other VMs, and clears them. */
  public synchronized List<TargetRecord> takeOutgoing() {
    return directory.takeOutgoing();
  }

  /** Returns the newest statement about each target. */
  public synchronized Collection<TargetRecord> facts() {
    return directory.records();
  }

  /** Returns the digests of what is known. */
  public synchronized long[] digests() {
    return directory.digests();
  }

  /**
   * Returns what another VM may lack.
   *
   * @param digests the other VM's digests
   */
  public synchronized List<TargetRecord> differing(long[] digests) {
    return directory.recordsInDifferingBuckets(digests);
  }

  /**
   * Returns the number of layers of a model, or 0 if no engine of it is known.
   *
   * @param model model name
   */
  public synchronized int modelLayers(String model) {
    ModelPool pool = models.get(model);
    return pool == null ? 0 : pool.modelLayers();
  }

  /** Returns the largest flow of tokens a second that the engines of each model can carry. */
  public synchronized Map<String, Double> tokenBounds() {
    Map<String, Double> bounds = new TreeMap<>();
    models.forEach((model, pool) -> bounds.put(model, FlowBound.tokensPerSecond(pool)));
    return bounds;
  }

  /**
   * Plans stages for layers of a model.
   *
   * @param model model name
   * @param layers the layers
   * @param excluded targets not to be used
   * @param preferred preferred data centre, or null
   * @return the stages in order, or empty if the engines do not cover the layers
   */
  public synchronized Optional<List<Stage>> plan(
      String model, LayerRange layers, Set<String> excluded, @Nullable String preferred) {
    ModelPool pool = models.get(model);
    if (pool == null) {
      return Optional.empty();
    }
    long now = System.nanoTime();
    Set<String> avoided = new HashSet<>(outliers.ejected(pool.targets().size(), now));
    avoided.addAll(excluded);
    Optional<List<Stage>> plan = planner.plan(pool, layers, avoided, preferred, now);
    return plan.isPresent() ? plan : planner.plan(pool, layers, excluded, preferred, now);
  }

  /**
   * Chooses a target of a service.
   *
   * @param service service name
   * @param excluded targets not to be used
   * @param preferred preferred data centre, or null
   */
  public synchronized Optional<TargetDescription> service(
      String service, Set<String> excluded, @Nullable String preferred) {
    long now = System.nanoTime();
    List<TargetRecord> targets = services.getOrDefault(service, List.of());
    Set<String> aside = outliers.ejected(targets.size(), now);
    TargetRecord best = null;
    double bestSeconds = 0;
    for (TargetRecord target : targets) {
      if (excluded.contains(target.name())) {
        continue;
      }
      double seconds = observed.expectedSeconds(newest(target), 1, now);
      boolean away = preferred != null && !preferred.equals(target.description().dataCentre());
      double cost = seconds * (away ? 2 : 1) + (aside.contains(target.name()) ? 1e6 : 0);
      if (best == null || cost < bestSeconds) {
        best = target;
        bestSeconds = cost;
      }
    }
    return Optional.ofNullable(best).map(TargetRecord::description);
  }

  /**
   * Notes that a request has taken a target into its chain, or a call is sent to it.
   *
   * @param target name of the target
   */
  public synchronized void assigned(String target) {
    observed.recordAssignment(target);
  }

  /**
   * Notes that a request or call is done with a target.
   *
   * @param target name of the target
   */
  public synchronized void released(String target) {
    observed.recordRelease(target);
  }

  /**
   * Notes that a target has done its work.
   *
   * @param target name of the target
   * @param overheadSeconds time spent on the way
   */
  public synchronized void succeeded(String target, double overheadSeconds) {
    observed.recordOverhead(target, overheadSeconds);
    outliers.recordSuccess(target, System.nanoTime());
  }

  /**
   * Notes that a target has failed.
   *
   * @param target name of the target
   */
  public synchronized void failed(String target) {
    outliers.recordFailure(target, System.nanoTime());
  }

  /**
   * Returns the incarnation of a target, or 0 if it is not known.
   *
   * @param target name of the target
   */
  public synchronized long incarnation(String target) {
    return directory.find(target).map(TargetRecord::incarnation).orElse(0L);
  }

  private TargetRecord newest(TargetRecord target) {
    return directory.find(target.name()).orElse(target);
  }

  private void note(TargetRecord fact, TargetDirectory.MergeResult merge) {
    if (merge == TargetDirectory.MergeResult.CHANGED) {
      outliers.remove(fact.name());
      Logger.info(
          "target {} {} in incarnation {}",
          fact.name(),
          fact.leaving() ? "leaves" : "is known",
          fact.incarnation());
      regroup();
    }
  }
}
