package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Forms a cluster once all initial members are reachable and have blank disks.
 *
 * <p>Only the initial member whose name sorts first forms it, so that blank disks never form two
 * clusters.
 */
final class ClusterBootstrap {
  // 2 s; an initial member counts as reachable for this long after its last Hello.
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

  /** Returns the VMs that this replica sends Hello messages to: initial members, then seeds. */
  List<String> helloRecipients() {
    return Stream.concat(initialMembers.stream(), seeds.stream())
        .distinct()
        .filter(vm -> !vm.equals(self.vm()))
        .toList();
  }

  void seeds(List<String> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Returns whether VMs other than the initial members may hold replicas. */
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

  /** Returns the initial configuration if this replica must form the cluster now. */
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
