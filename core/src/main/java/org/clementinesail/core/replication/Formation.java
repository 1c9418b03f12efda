package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
  private final Map<String, Greeting> greetings = new HashMap<>();

  Formation(ReplicaId self, List<String> founders) {
    this.self = self;
    this.founders = founders.stream().sorted().toList();
  }

  List<String> others() {
    return founders.stream().filter(vm -> !vm.equals(self.vm())).toList();
  }

  boolean mayJoin(String vm) {
    return founders.contains(vm);
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
    for (String vm : others()) {
      Greeting greeting = greetings.get(vm);
      if (greeting == null || now - greeting.at > FRESH_NANOS) {
        return Optional.empty();
      }
      voters.add(greeting.id);
    }
    return Optional.of(new ReplicaConfig(voters, List.of()));
  }
}
