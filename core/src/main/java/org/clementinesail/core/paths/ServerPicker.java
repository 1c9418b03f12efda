package org.clementinesail.core.paths;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;

/**
 * Selects the server for a service call, with a preference for the VM's own data centre.
 *
 * <p>If the load of all VMs is known, the server is selected at random, in proportion to its free
 * slots: VMs that see the same load would all select the same best server. Servers of other data
 * centres take part as far as those of this one are loaded. Otherwise, the server with the fewest
 * calls of this VM in progress per slot is selected.
 *
 * <p>Call times may vary, and there may be only a few servers. Counting the calls in progress
 * avoids a server that is occupied by a long call.
 */
public final class ServerPicker {
  /** Cost of a server in another data centre, in calls in progress per slot. */
  private static final double REMOTE_PENALTY = 0.1;

  /**
   * Cost of a server outside the data centre that the shares select, in calls in progress per slot:
   * it is used if the servers there are full.
   */
  private static final double OUTSIDE_SHARE_PENALTY = 1;

  /** Upper limit of the random cost that breaks ties, in calls in progress per slot. */
  private static final double TIE_BREAK_RANGE = 0.05;

  /**
   * Load of the servers in this data centre, as a share of their slots, up to which calls stay. At
   * half of the slots, calls seldom find a server full.
   */
  private static final double STAYING_LOAD = 0.5;

  /** Least weight of a server, as a share of its slots: the load is up to half a second old. */
  private static final double MIN_FREE_SHARE = 0.05;

  private final LocalLoad localLoad;
  private final Supplier<FleetLoad> fleetLoad;
  private final RandomGenerator random;

  /**
   * Creates a picker.
   *
   * @param localLoad requests of this VM at each target
   * @param random breaks ties between equally loaded servers
   */
  public ServerPicker(LocalLoad localLoad, RandomGenerator random) {
    this(localLoad, () -> FleetLoad.NONE, random);
  }

  /**
   * Creates a picker.
   *
   * @param localLoad requests of this VM at each target
   * @param fleetLoad supplies the last known load of all VMs
   * @param random selects between servers
   */
  public ServerPicker(LocalLoad localLoad, Supplier<FleetLoad> fleetLoad, RandomGenerator random) {
    this.localLoad = localLoad;
    this.fleetLoad = fleetLoad;
    this.random = random;
  }

  /**
   * Picks a server, or returns empty if all are excluded. A suspect server is picked only if all
   * others are suspect or excluded.
   *
   * @param servers servers that accept new work
   * @param excluded identities of targets that must not be used
   * @param dataCentre data centre of this VM
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public Optional<Fleet.Member> pick(
      List<Fleet.Member> servers, Set<String> excluded, String dataCentre, long now) {
    FleetLoad load = fleetLoad.get();
    return load.isFresh(now)
        ? pickByFreeSlots(load, servers, excluded, dataCentre, false, now)
        : pick(servers, excluded, dataCentre, REMOTE_PENALTY, now);
  }

  /**
   * Picks a server as {@link #pick} does, in the data centre that the shares select for the call.
   * Servers elsewhere are picked only if those there are full or excluded. If one there is excluded
   * already, usually because it has refused the call, slots are short there, and the constant
   * penalty decides.
   *
   * @param servers servers that accept new work
   * @param excluded identities of targets that must not be used
   * @param selected data centre that the shares select, see {@link
   *     org.clementinesail.core.locality.LocalityShares}
   * @param now current time in nanoseconds of this VM's monotonic clock
   */
  public Optional<Fleet.Member> pickByShare(
      List<Fleet.Member> servers, Set<String> excluded, String selected, long now) {
    boolean refused =
        servers.stream()
            .map(Fleet.Member::statement)
            .anyMatch(s -> s.dataCentre().equals(selected) && excluded.contains(s.id()));
    FleetLoad load = fleetLoad.get();
    if (load.isFresh(now)) {
      return pickByFreeSlots(load, servers, excluded, selected, !refused, now);
    }
    double penalty = refused ? REMOTE_PENALTY : OUTSIDE_SHARE_PENALTY;
    return pick(servers, excluded, selected, penalty, now);
  }

  private Optional<Fleet.Member> pick(
      List<Fleet.Member> servers,
      Set<String> excluded,
      String dataCentre,
      double penalty,
      long now) {
    Fleet.Member best = null;
    double lowestCost = Double.MAX_VALUE;
    for (Fleet.Member server : servers) {
      if (excluded.contains(server.statement().id())) {
        continue;
      }
      // 1,000 calls per slot are above any real load: a suspect server is the last choice.
      double cost = cost(server, dataCentre, penalty) + (server.isSuspect(now) ? 1_000 : 0);
      if (cost < lowestCost) {
        lowestCost = cost;
        best = server;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Picks at random in proportion to the free slots, so that VMs with the same view spread out.
   *
   * @param onlyThere whether servers elsewhere are picked only if the data centre has none
   */
  private Optional<Fleet.Member> pickByFreeSlots(
      FleetLoad load,
      List<Fleet.Member> servers,
      Set<String> excluded,
      String dataCentre,
      boolean onlyThere,
      long now) {
    List<Fleet.Member> usable =
        servers.stream().filter(server -> !excluded.contains(server.statement().id())).toList();
    List<Fleet.Member> trusted = usable.stream().filter(server -> !server.isSuspect(now)).toList();
    List<Fleet.Member> candidates = trusted.isEmpty() ? usable : trusted;
    boolean anyThere = candidates.stream().anyMatch(server -> isIn(server, dataCentre));
    double remoteFactor = onlyThere && anyThere ? 0 : remoteFactor(load, candidates, dataCentre);
    double[] weights = new double[candidates.size()];
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      Fleet.Member server = candidates.get(i);
      weights[i] = freeSlots(load, server) * (isIn(server, dataCentre) ? 1 : remoteFactor);
      sum += weights[i];
    }
    double remaining = sum * random.nextDouble();
    for (int i = 0; i < weights.length; i++) {
      remaining -= weights[i];
      if (remaining < 0) {
        return Optional.of(candidates.get(i));
      }
    }
    return candidates.stream().findFirst();
  }

  /** Returns the weight of a free slot in another data centre, from 0 to 1. */
  private double remoteFactor(FleetLoad load, List<Fleet.Member> servers, String dataCentre) {
    double slots = 0;
    double requests = 0;
    for (Fleet.Member server : servers) {
      if (isIn(server, dataCentre)) {
        slots += slots(server);
        requests += requests(load, server);
      }
    }
    double used = slots > 0 ? Math.min(1, requests / slots) : 1;
    return Math.max(0, used - STAYING_LOAD) / (1 - STAYING_LOAD);
  }

  private double freeSlots(FleetLoad load, Fleet.Member server) {
    double slots = slots(server);
    return Math.max(slots - requests(load, server), slots * MIN_FREE_SHARE);
  }

  private double requests(FleetLoad load, Fleet.Member server) {
    String id = server.statement().id();
    return load.meanOthersInProgress(id) + localLoad.requestCount(id);
  }

  private static int slots(Fleet.Member server) {
    return Math.max(1, server.statement().slots());
  }

  private static boolean isIn(Fleet.Member server, String dataCentre) {
    return server.statement().dataCentre().equals(dataCentre);
  }

  private double cost(Fleet.Member server, String dataCentre, double penalty) {
    double remote = isIn(server, dataCentre) ? 0 : penalty;
    double load = (double) localLoad.requestCount(server.statement().id()) / slots(server);
    return load + remote + TIE_BREAK_RANGE * random.nextDouble();
  }
}
