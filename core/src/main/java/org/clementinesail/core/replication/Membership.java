package org.clementinesail.core.replication;

import java.util.List;

/**
 * Who may hold replicas.
 *
 * @param initialMembers VMs that form the cluster together; empty on a VM that only joins
 * @param seeds VMs that a replica without a cluster greets beside the founders
 * @param open whether other VMs than the founders may join, and take the place of silent ones
 */
public record Membership(List<String> initialMembers, List<String> seeds, boolean open) {
  /** Copies both lists. */
  public Membership {
    initialMembers = List.copyOf(initialMembers);
    seeds = List.copyOf(seeds);
  }

  /**
   * Returns a membership that is limited to the founders.
   *
   * @param initialMembers VMs that hold replicas
   */
  public static Membership fixed(List<String> initialMembers) {
    return new Membership(initialMembers, List.of(), false);
  }
}
