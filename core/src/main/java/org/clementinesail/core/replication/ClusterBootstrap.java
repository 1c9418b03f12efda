package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Forms a cluster once every founder is present with a blank disk.
 *
 * <p>Only the founder with the first name decides, so that blank disks never start two histories.
 */
final class ClusterBootstrap {
  private static final long HELLO_VALIDITY_NANOS = 2_000_000_000L;

  private record ReceivedHello(ReplicaId id, long receivedAt) {}

  private final ReplicaId self;
  private final List<String> initialMembers;
  private final boolean open;
  private List<String> seeds;
  private final Map<String, ReceivedHello> receivedHellos = new HashMap<>();

  ClusterBootstrap(ReplicaId self, Membership membership) {
    this.self = self;
    this.initialMembers = membership.initialMembers().stream().sorted().toList();
    this.seeds = membership.seeds();
    this.open = membership.open();
  }

  /** Returns the VMs to greet while no cluster is found. */
  List<String> helloRecipients() {
    return Stream.concat(initialMembers.stream(), seeds.stream())
        .distinct()
        .filter(vm -> !vm.equals(self.vm()))
        .toList();
  }

  void seeds(List<String> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Returns whether VMs that are no founders may hold replicas. */
  boolean open() {
    return open;
  }

  boolean mayJoin(String vm) {
    return open || initialMembers.contains(vm);
  }

  void recordHello(ReplicaId from, boolean blank, long now) {
    if (blank) {
      receivedHellos.put(from.vm(), new ReceivedHello(from, now));
    } else {
      receivedHellos.remove(from.vm());
    }
  }

  /** Returns the founding configuration if this replica is to decide it now. */
  Optional<ReplicaConfig> initialConfig(long now) {
    if (initialMembers.isEmpty() || !initialMembers.get(0).equals(self.vm())) {
      return Optional.empty();
    }
    List<ReplicaId> voters = new ArrayList<>();
    voters.add(self);
    for (String vm : initialMembers) {
      if (vm.equals(self.vm())) {
        continue;
      }
      ReceivedHello hello = receivedHellos.get(vm);
      if (hello == null || now - hello.receivedAt > HELLO_VALIDITY_NANOS) {
        return Optional.empty();
      }
      voters.add(hello.id);
    }
    return Optional.of(new ReplicaConfig(voters, List.of()));
  }
}
