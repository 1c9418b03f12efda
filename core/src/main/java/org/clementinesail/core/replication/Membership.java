package org.clementinesail.core.replication;

import java.util.List;

/**
 * Who may hold replicas.
 *
 * @param founders VMs that form the cluster together; empty on a VM that only joins
 * @param contacts VMs that a replica without a cluster greets beside the founders
 * @param open whether other VMs than the founders may join, and take the place of silent ones
 */
public record Membership(List<String> founders, List<String> contacts, boolean open) {
  /** Copies both lists. */
  public Membership {
    founders = List.copyOf(founders);
    contacts = List.copyOf(contacts);
  }

  /**
   * Returns a membership that is limited to the founders.
   *
   * @param founders VMs that hold replicas
   */
  public static Membership fixed(List<String> founders) {
    return new Membership(founders, List.of(), false);
  }
}
