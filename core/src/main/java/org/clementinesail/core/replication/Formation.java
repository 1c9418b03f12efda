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
final class Formation {
  private static final long FRESH_NANOS = 2_000_000_000L;

  private record Greeting(ReplicaId id, long at) {}

  private final ReplicaId self;
  private final List<String> founders;
  private final boolean open;
  private List<String> contacts;
  private final Map<String, Greeting> greetings = new HashMap<>();

  Formation(ReplicaId self, Membership membership) {
    this.self = self;
    this.founders = membership.founders().stream().sorted().toList();
    this.contacts = membership.contacts();
    this.open = membership.open();
  }

  /** Returns the VMs to greet while no cluster is found. */
  List<String> others() {
    return Stream.concat(founders.stream(), contacts.stream())
        .distinct()
        .filter(vm -> !vm.equals(self.vm()))
        .toList();
  }

  void contacts(List<String> next) {
    contacts = List.copyOf(next);
  }

  /** Returns whether VMs that are no founders may hold replicas. */
  boolean open() {
    return open;
  }

  boolean mayJoin(String vm) {
    return open || founders.contains(vm);
  }

  void greeted(ReplicaId from, boolean blank, long now) {
    if (blank) {
      greetings.put(from.vm(), new Greeting(from, now));
    } else {
      greetings.remove(from.vm());
    }
  }

  /** Returns the founding configuration if this replica is to decide it now. */
  Optional<ReplicaConfig> decide(long now) {
    if (founders.isEmpty() || !founders.get(0).equals(self.vm())) {
      return Optional.empty();
    }
    List<ReplicaId> voters = new ArrayList<>();
    voters.add(self);
    for (String vm : founders) {
      if (vm.equals(self.vm())) {
        continue;
      }
      Greeting greeting = greetings.get(vm);
      if (greeting == null || now - greeting.at > FRESH_NANOS) {
        return Optional.empty();
      }
      voters.add(greeting.id);
    }
    return Optional.of(new ReplicaConfig(voters, List.of()));
  }
}
