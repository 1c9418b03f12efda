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

/** Stores the targets known to this VM and chooses among them; thread-safe. */
public final class TargetRegistry {
  private final TargetDirectory directory = new TargetDirectory();
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final ObservedLoad observedLoad;
  private final ChainPlanner planner;
  private final Supplier<RuleSet> rules;
  private final Map<String, ModelPool> modelPools = new HashMap<>();
  private final Map<String, List<TargetRecord>> serviceTargets = new HashMap<>();

  /**
   * Creates a registry without targets.
   *
   * @param vms returns the number of VMs that share the targets
   * @param rules returns the rules in force
   * @param random random source of the chain planner
   */
  public TargetRegistry(IntSupplier vms, Supplier<RuleSet> rules, RandomGenerator random) {
    this.observedLoad = new ObservedLoad(vms);
    this.rules = rules;
    this.planner =
        new ChainPlanner(
            (target, layers, now) ->
                observedLoad.expectedSeconds(latestRecord(target), layers, now),
            random);
  }

  /**
   * Merges a record that a target announced to this VM, and queues it for the other VMs.
   *
   * @param record record to merge; ignored unless it {@linkplain TargetRecord#supersedes
   *     supersedes} the known one
   */
  public synchronized void recordAnnouncement(TargetRecord record) {
    handleMerge(record, directory.mergeAnnouncement(record));
  }

  /**
   * Records a load report that a target sent to this VM.
   *
   * @param name name of the target
   * @param incarnation incarnation of the reporting target
   * @param sequence sequence number of the report; an outdated report is ignored
   * @param load reported load
   * @return whether the target is known with this incarnation
   */
  public synchronized boolean recordLoad(
      String name, long incarnation, long sequence, TargetLoad load) {
    directory.updateLoad(name, incarnation, sequence, load);
    return directory.find(name).filter(record -> record.incarnation() == incarnation).isPresent();
  }

  /**
   * Records that a target is leaving and takes no new work.
   *
   * @param name name of the target
   * @param incarnation incarnation of the leaving target
   * @param sequence sequence number of the leave message
   * @return whether the target is known with this incarnation
   */
  public synchronized boolean recordLeaving(String name, long incarnation, long sequence) {
    Optional<TargetRecord> current =
        directory.find(name).filter(record -> record.incarnation() == incarnation);
    current.ifPresent(
        record ->
            recordAnnouncement(
                new TargetRecord(
                    record.description(),
                    incarnation,
                    Math.max(sequence, record.sequence() + 1),
                    true,
                    record.load(),
                    record.leaseDeadline())));
    return current.isPresent();
  }

  /**
   * Merges records from another VM; they are not forwarded.
   *
   * @param records records to merge; each is ignored unless it {@linkplain TargetRecord#supersedes
   *     supersedes} the known one
   */
  public synchronized void merge(Collection<TargetRecord> records) {
    for (TargetRecord record : records) {
      handleMerge(record, directory.merge(record));
    }
  }

  /** Removes targets whose lease has expired; leaving targets are kept for another 600 s. */
  public synchronized void expire() {
    List<String> expired = directory.expire(System.nanoTime());
    for (String name : expired) {
      observedLoad.removeIfIdle(name);
      outlierDetector.remove(name);
      Logger.info("target {} did not renew its lease and is removed", name);
    }
    if (!expired.isEmpty()) {
      rebuildGroups();
    }
  }

  /**
   * Groups the targets by model and service again, without leaving and drained targets; call this
   * after the rules have changed.
   */
  public synchronized void rebuildGroups() {
    modelPools.clear();
    serviceTargets.clear();
    Map<String, List<TargetRecord>> engines = new HashMap<>();
    RuleSet rulesInForce = rules.get();
    for (TargetRecord record : directory.records()) {
      if (record.leaving() || rulesInForce.drained(record.name())) {
        continue;
      }
      Map<String, List<TargetRecord>> group =
          record.description().engine() == null ? serviceTargets : engines;
      group.computeIfAbsent(record.description().serves(), key -> new ArrayList<>()).add(record);
    }
    engines.forEach((model, members) -> modelPools.put(model, new ModelPool(members)));
  }

  /** Returns the records to send to all other VMs and clears the list of them. */
  public synchronized List<TargetRecord> takeOutgoing() {
    return directory.takeOutgoing();
  }

  /** Returns the latest record of each target. */
  public synchronized Collection<TargetRecord> records() {
    return directory.records();
  }

  /** Returns one digest for each bucket of known records. */
  public synchronized long[] digests() {
    return directory.digests();
  }

  /**
   * Returns the records that another VM may lack.
   *
   * @param digests digests that the other VM returned from {@link #digests}
   */
  public synchronized List<TargetRecord> recordsInDifferingBuckets(long[] digests) {
    return directory.recordsInDifferingBuckets(digests);
  }

  /**
   * Returns the number of layers of a model, or 0 if no engine of the model is known.
   *
   * @param model name of the model
   */
  public synchronized int modelLayers(String model) {
    ModelPool pool = modelPools.get(model);
    return pool == null ? 0 : pool.modelLayers();
  }

  /** Returns an upper bound on the tokens per second of each model with its known engines. */
  public synchronized Map<String, Double> maxTokensPerSecond() {
    Map<String, Double> bounds = new TreeMap<>();
    modelPools.forEach((model, pool) -> bounds.put(model, FlowBound.tokensPerSecond(pool)));
    return bounds;
  }

  /**
   * Plans stages for layers of a model. Outliers are used only if no plan exists without them.
   *
   * @param model name of the model
   * @param layers layers that the stages must cover
   * @param excluded names of targets that must not be used
   * @param preferredDataCentre preferred data centre, or null
   * @return the stages in order, or empty if the engines do not cover the layers
   */
  public synchronized Optional<List<Stage>> planStages(
      String model, LayerRange layers, Set<String> excluded, @Nullable String preferredDataCentre) {
    ModelPool pool = modelPools.get(model);
    if (pool == null) {
      return Optional.empty();
    }
    long now = System.nanoTime();
    Set<String> avoided = new HashSet<>(outlierDetector.ejected(pool.targets().size(), now));
    avoided.addAll(excluded);
    Optional<List<Stage>> plan = planner.plan(pool, layers, avoided, preferredDataCentre, now);
    return plan.isPresent() ? plan : planner.plan(pool, layers, excluded, preferredDataCentre, now);
  }

  /**
   * Chooses the target of a service with the lowest expected time. A target outside the preferred
   * data centre counts as twice as slow; outliers are used only if no other target is left. Returns
   * empty if all targets are excluded or none is known.
   *
   * @param service name of the service
   * @param excluded names of targets that must not be used
   * @param preferredDataCentre preferred data centre, or null
   */
  public synchronized Optional<TargetDescription> chooseServiceTarget(
      String service, Set<String> excluded, @Nullable String preferredDataCentre) {
    long now = System.nanoTime();
    List<TargetRecord> targets = serviceTargets.getOrDefault(service, List.of());
    Set<String> ejected = outlierDetector.ejected(targets.size(), now);
    TargetRecord best = null;
    double bestCost = 0;
    for (TargetRecord target : targets) {
      if (excluded.contains(target.name())) {
        continue;
      }
      double seconds = observedLoad.expectedSeconds(latestRecord(target), 1, now);
      boolean otherDataCentre =
          preferredDataCentre != null
              && !preferredDataCentre.equals(target.description().dataCentre());
      double cost =
          seconds * (otherDataCentre ? 2 : 1) + (ejected.contains(target.name()) ? 1e6 : 0);
      if (best == null || cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best).map(TargetRecord::description);
  }

  /**
   * Records that a request uses a target in its chain, or that a call is sent to it.
   *
   * @param target name of the target
   */
  public synchronized void recordAssignment(String target) {
    observedLoad.recordAssignment(target);
  }

  /**
   * Records that a request or call no longer uses a target.
   *
   * @param target name of the target
   */
  public synchronized void recordRelease(String target) {
    observedLoad.recordRelease(target);
  }

  /**
   * Records that a target completed a step or call.
   *
   * @param target name of the target
   * @param overheadSeconds time beyond the reported compute time, such as network and queues, in
   *     seconds; 0 for a service call
   */
  public synchronized void recordSuccess(String target, double overheadSeconds) {
    observedLoad.recordOverhead(target, overheadSeconds);
    outlierDetector.recordSuccess(target, System.nanoTime());
  }

  /**
   * Records that a step or call failed on a target.
   *
   * @param target name of the target
   */
  public synchronized void recordFailure(String target) {
    outlierDetector.recordFailure(target, System.nanoTime());
  }

  /**
   * Returns the incarnation of a target, or 0 if the target is not known.
   *
   * @param target name of the target
   */
  public synchronized long incarnation(String target) {
    return directory.find(target).map(TargetRecord::incarnation).orElse(0L);
  }

  private TargetRecord latestRecord(TargetRecord target) {
    return directory.find(target.name()).orElse(target);
  }

  private void handleMerge(TargetRecord record, TargetDirectory.MergeResult result) {
    if (result == TargetDirectory.MergeResult.CHANGED) {
      outlierDetector.remove(record.name());
      Logger.info(
          "target {} {} with incarnation {}",
          record.name(),
          record.leaving() ? "is leaving" : "is registered",
          record.incarnation());
      rebuildGroups();
    }
  }
}
