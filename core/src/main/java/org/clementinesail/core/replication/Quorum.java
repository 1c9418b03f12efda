package org.clementinesail.core.replication;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The voters of one configuration and how many of them must agree.
 *
 * @param voters voters whose agreement counts
 * @param size how many of them form a quorum
 */
record Quorum(List<ReplicaId> voters, int size) {
  Quorum {
    voters = List.copyOf(voters);
  }

  /**
   * Returns a majority of a configuration, of voters whose disks are not lost.
   *
   * @param config the configuration, which may not be committed yet
   * @param lost replicas whose disks are known to be lost
   */
  static Quorum majority(ReplicaConfig config, Set<ReplicaId> lost) {
    return new Quorum(withoutLost(config, lost), config.quorum());
  }

  /**
   * Returns the quorum of a committed configuration: a majority, or half of an even number of
   * voters if a disk is lost. As a lost voter agrees to nothing any more, half of the voters share
   * one with each majority, and any two halves share one.
   *
   * @param config the configuration
   * @param lost replicas whose disks are known to be lost
   */
  static Quorum committed(ReplicaConfig config, Set<ReplicaId> lost) {
    List<ReplicaId> left = withoutLost(config, lost);
    int voters = config.voters().size();
    boolean half = left.size() < voters && voters % 2 == 0;
    return new Quorum(left, half ? voters / 2 : config.quorum());
  }

  private static List<ReplicaId> withoutLost(ReplicaConfig config, Set<ReplicaId> lost) {
    return config.voters().stream().filter(voter -> !lost.contains(voter)).toList();
  }

  /** Returns whether enough voters fulfil a condition. */
  boolean isReached(Predicate<ReplicaId> condition) {
    return voters.stream().filter(condition).count() >= size;
  }

  /**
   * Returns the highest value that enough voters have reached.
   *
   * @param value value that a voter has reached
   * @param none value of a quorum that has too few voters left
   */
  long highestReached(ToLongFunction<ReplicaId> value, long none) {
    return voters.stream()
        .map(value::applyAsLong)
        .sorted((a, b) -> Long.compare(b, a))
        .skip(size - 1L)
        .findFirst()
        .orElse(none);
  }
}
