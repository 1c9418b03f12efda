package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicas of a cluster.
 *
 * @param voters replicas that elect leaders; a majority of them commits an entry
 * @param learners replicas that receive the log but do not count towards a majority yet
 */
public record ReplicaConfig(List<ReplicaId> voters, List<ReplicaId> learners) {
  /** A configuration without replicas. */
  public static final ReplicaConfig NONE = new ReplicaConfig(List.of(), List.of());

  /** Makes both lists immutable by copying them. */
  public ReplicaConfig {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns how many voters form a majority. */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns the voter or learner on a VM, or empty if there is none.
   *
   * @param vm name of the VM
   */
  public Optional<ReplicaId> byVm(String vm) {
    return members().stream().filter(id -> id.vm().equals(vm)).findFirst();
  }

  /** Returns the voters followed by the learners. */
  public List<ReplicaId> members() {
    List<ReplicaId> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /**
   * Returns a configuration with a new learner, without other replicas on its VM.
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
   * Returns a configuration in which a learner is promoted to a voter.
   *
   * @param id learner that has caught up
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
   * @param id replica to remove; unknown ones are ignored
   */
  public ReplicaConfig without(ReplicaId id) {
    return new ReplicaConfig(
        voters.stream().filter(v -> !v.equals(id)).toList(),
        learners.stream().filter(v -> !v.equals(id)).toList());
  }
}
