package org.clementinesail.core.replication;

import java.util.List;

/**
 * VMs that may hold replicas.
 *
 * @param initialMembers VMs that form the cluster together; empty on a VM that only joins one
 * @param seeds further VMs that a replica sends Hello messages to while it has no cluster or, if
 *     open, hears no leader
 * @param open whether VMs other than the initial members may join and replace silent ones
 */
public record Membership(List<String> initialMembers, List<String> seeds, boolean open) {
  /** Makes both lists immutable by copying them. */
  public Membership {
    initialMembers = List.copyOf(initialMembers);
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns a membership that is limited to the initial members.
   *
   * @param initialMembers VMs that hold replicas
   */
  public static Membership fixed(List<String> initialMembers) {
    return new Membership(initialMembers, List.of(), false);
  }
}
