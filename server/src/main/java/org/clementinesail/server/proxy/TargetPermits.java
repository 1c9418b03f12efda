package org.clementinesail.server.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.ratelimits.DemandMeter;
import org.clementinesail.core.ratelimits.SendPermissions;

/** Which targets have reached the rates that they name, and for how long. */
final class TargetPermits {
  /** Shortest and longest delay of a caller whose request exceeds the limits of the targets. */
  private static final double MIN_LIMITED_SECONDS = 0.5;

  private static final double MAX_LIMITED_SECONDS = 10;

  private final SendPermissions permissions;
  private final DemandMeter demand;

  TargetPermits(SendPermissions permissions, DemandMeter demand) {
    this.permissions = permissions;
    this.demand = demand;
  }

  /** Returns the targets that have reached their limits, as far as this VM may send to them. */
  Set<String> exhausted(List<Fleet.Member> ready, int vms, long now) {
    Set<String> without = new HashSet<>();
    if (permissions.hasLimits()) {
      for (Fleet.Member member : ready) {
        if (!permissions.maySend(member.statement(), vms, now)) {
          without.add(member.statement().id());
        }
      }
    }
    return without;
  }

  /**
   * Returns how many seconds the limited targets of a service need for what arrives in a second;
   * empty unless some of them have reached their limits.
   */
  OptionalDouble limitedSeconds(String service, List<Fleet.Member> ready, int vms, long now) {
    if (exhausted(ready, vms, now).isEmpty()) {
      return OptionalDouble.empty();
    }
    double perSecond =
        ready.stream()
            .mapToDouble(m -> permissions.limitPerSecond(m.statement()).orElse(0.0))
            .sum();
    double seconds = demand.perSecond(service, now) * vms / perSecond;
    return OptionalDouble.of(Math.max(MIN_LIMITED_SECONDS, Math.min(MAX_LIMITED_SECONDS, seconds)));
  }
}
