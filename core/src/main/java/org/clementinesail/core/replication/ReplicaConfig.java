package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicas of a cluster.
 *
 * @param voters replicas that elect and acknowledge; a majority of them accepts an entry
 * @param learners replicas that receive the log but do not count yet
 */
public record ReplicaConfig(List<ReplicaId> voters, List<ReplicaId> learners) {
  /** A configuration without replicas. */
  public static final ReplicaConfig NONE = new ReplicaConfig(List.of(), List.of());

  /** Copies both lists. */
  public ReplicaConfig {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns how many voters make a majority. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns the replica that the configuration holds for a VM, voter or learner.
   *
   * @param vm name of the VM
   */
  public Optional<ReplicaId> byVm(String vm) {
    return members().stream().filter(id -> id.vm().equals(vm)).findFirst();
  }

  /** Returns voters and learners together. */
  public List<ReplicaId> members() {
    List<ReplicaId> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /**
   * Returns a configuration in which a replica is a learner and its VM has no other replica.
   *
   * @param id the replica that joins
   */
  public ReplicaConfig withLearner(ReplicaId id) {
    List<ReplicaId> nextVoters = new ArrayList<>(voters);
    nextVoters.removeIf(v -> v.vm().equals(id.vm()));
    List<ReplicaId> nextLearners = new ArrayList<>(learners);
    nextLearners.removeIf(v -> v.vm().equals(id.vm()));
    nextLearners.add(id);
    return new ReplicaConfig(nextVoters, nextLearners);
  }

  /**
   * Returns a configuration in which a learner has become a voter.
   *
   * @param id the learner
   */
  public ReplicaConfig withPromoted(ReplicaId id) {
    List<ReplicaId> nextVoters = new ArrayList<>(voters);
    nextVoters.add(id);
    List<ReplicaId> nextLearners = new ArrayList<>(learners);
    nextLearners.remove(id);
    return new ReplicaConfig(nextVoters, nextLearners);
  }

  /**
   * Returns a configuration without one replica.
   *
   * @param id the replica
   */
  public ReplicaConfig without(ReplicaId id) {
    return new ReplicaConfig(
        voters.stream().filter(v -> !v.equals(id)).toList(),
        learners.stream().filter(v -> !v.equals(id)).toList());
  }
}
