package org.clementinesail.core.paths;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.Fleet;

/**
 * Selects the server for a service call: the one with the fewest calls of this VM in progress per
 * slot, with a preference for the VM's own data centre.
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

  private final LocalLoad localLoad;
  private final RandomGenerator random;

  /**
   * Creates a picker.
   *
   * @param localLoad requests of this VM at each target
   * @param random breaks ties between equally loaded servers
   */
  public ServerPicker(LocalLoad localLoad, RandomGenerator random) {
    this.localLoad = localLoad;
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
    return pick(servers, excluded, dataCentre, REMOTE_PENALTY, now);
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

  private double cost(Fleet.Member server, String dataCentre, double penalty) {
    int slots = Math.max(1, server.statement().slots());
    double remote = server.statement().dataCentre().equals(dataCentre) ? 0 : penalty;
    double load = (double) localLoad.requestCount(server.statement().id()) / slots;
    return load + remote + TIE_BREAK_RANGE * random.nextDouble();
  }
}
