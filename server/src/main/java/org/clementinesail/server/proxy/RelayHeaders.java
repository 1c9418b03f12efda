package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.fleet.TargetStatement;

/**
 * Headers between two VMs of which one serves a request for the other. They are read only on
 * connections between VMs, and are not passed on.
 */
final class RelayHeaders {
  /** On how many targets the request may have run before; sent with a request. */
  private static final String EARLIER_RUNS = "Relay-Earlier-Runs";

  /** Rank of the request that the first VM determined; sent with a request. */
  private static final String RANK = "Relay-Rank";

  /** What became of a request that no target has answered. */
  private static final String OUTCOME = "Relay-Outcome";

  /** Start and id of the target whose answer this is, with a space between them. */
  private static final String TARGET = "Relay-Target";

  /** Marks a request for a sign of life; see {@link SignOfLife}. */
  static final String ALIVE = "Relay-Alive";

  private static final String NOT_RUN = "not-run";
  private static final String UNKNOWN = "unknown";
  private static final List<String> ALL = List.of(EARLIER_RUNS, RANK, OUTCOME, TARGET, ALIVE);

  private RelayHeaders() {}

  static void removeFrom(HttpHeaders headers) {
    ALL.forEach(headers::remove);
  }

  static void setEarlierRuns(HttpHeaders headers, int runs) {
    headers.set(EARLIER_RUNS, runs);
  }

  /** Returns on how many targets a request may have run before; 0 if that is not stated. */
  static int earlierRuns(HttpRequest request) {
    String value = request.headers().get(EARLIER_RUNS, "");
    return value.matches("[0-9]{1,3}") ? Integer.parseInt(value) : 0;
  }

  static void setRank(HttpHeaders headers, int rank) {
    headers.set(RANK, rank);
  }

  /**
   * Returns the rank that another VM states, or one computed here if it states none from 0 to 9.
   */
  static int rank(HttpRequest request, int computed) {
    String value = request.headers().get(RANK, "");
    return value.matches("[0-9]") ? Integer.parseInt(value) : computed;
  }

  static void setOutcome(HttpHeaders headers, boolean notRun) {
    headers.set(OUTCOME, notRun ? NOT_RUN : UNKNOWN);
  }

  /** Returns whether a VM states that the request has not run and never will. */
  static boolean isNotRun(HttpResponse response) {
    return NOT_RUN.equals(response.headers().get(OUTCOME));
  }

  /** Returns whether the answer is that of a VM, not of a target. */
  static boolean isOfVm(HttpResponse response) {
    return response.headers().contains(OUTCOME);
  }

  static void setTarget(HttpHeaders headers, TargetStatement target) {
    headers.set(TARGET, target.startedAtMillis() + " " + target.id());
  }

  /** Returns whether a VM states that the answer is that of a target. */
  static boolean namesTarget(HttpResponse response) {
    return response.headers().contains(TARGET);
  }

  /** Returns the target whose answer was passed on, if this VM knows that start of it. */
  static Optional<TargetStatement> target(HttpResponse response, Fleet fleet) {
    String value = response.headers().get(TARGET, "");
    String id = value.substring(value.indexOf(' ') + 1);
    return fleet
        .member(id)
        .map(Fleet.Member::statement)
        .filter(target -> value.equals(target.startedAtMillis() + " " + id));
  }
}
