package org.clementinesail.core.paths;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.clementinesail.core.fleet.Fleet;

/**
 * Chooses the server of a plain call: the one with the fewest of this VM's calls for its slots, in
 * the VM's own data centre where that is equal.
 *
 * <p>Answers uneven call times on few servers: counting calls in progress avoids the one that is
 * stuck behind a long call.
 */
public final class ServerPicker {
  /** What a data centre away adds, in calls in progress for each slot. */
  private static final double REMOTE_PENALTY = 0.1;

  private static final double TIE_BREAK_RANGE = 0.05;

  private final LocalLoad localLoad;
  private final RandomGenerator random;

  /**
   * Creates a picker.
   *
   * @param localLoad work of this VM at each target
   * @param random breaks ties
   */
  public ServerPicker(LocalLoad localLoad, RandomGenerator random) {
    this.localLoad = localLoad;
    this.random = random;
  }

  /**
   * Picks a server; one that is set aside only if all are.
   *
   * @param servers servers that take new work
   * @param excluded identities of targets not to be used
   * @param dataCentre data centre of the VM
   * @param now present time in nanoseconds
   */
  public Optional<Fleet.Member> pick(
      List<Fleet.Member> servers, Set<String> excluded, String dataCentre, long now) {
    Fleet.Member best = null;
    double least = Double.MAX_VALUE;
    for (Fleet.Member server : servers) {
      if (excluded.contains(server.statement().id())) {
        continue;
      }
      double cost = cost(server, dataCentre) + (server.isSuspect(now) ? 1_000 : 0);
      if (cost < least) {
        least = cost;
        best = server;
      }
    }
    return Optional.ofNullable(best);
  }

  private double cost(Fleet.Member server, String dataCentre) {
    int slots = Math.max(1, server.statement().slots());
    double remote = server.statement().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY;
    double load = (double) localLoad.requestCount(server.statement().id()) / slots;
    return load + remote + TIE_BREAK_RANGE * random.nextDouble();
  }
}
