package org.clementinesail.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Workspace;

/** The rank of a request: 0 is the most urgent, 9 the least. */
public final class RequestRank {
  /** Number of ranks. */
  public static final int COUNT = 10;

  /** The least urgent rank. */
  public static final int LAST = COUNT - 1;

  /** Priority of a workspace that leaves the rank to the route. */
  private static final int NO_PRIORITY = -1;

  /**
   * A priority in the desired state that is no rank.
   *
   * @param field name of the field, with the route or workspace that it belongs to
   * @param value its value
   */
  public record OddPriority(String field, int value) {}

  private RequestRank() {}

  /**
   * Returns the rank of a request.
   *
   * @param workspacePriority priority of its workspace; negative if it has none
   * @param routePriority priority of its route; capped to 0 to 9
   */
  public static int of(int workspacePriority, int routePriority) {
    int priority = workspacePriority >= 0 ? workspacePriority : routePriority;
    return Math.max(0, Math.min(LAST, priority));
  }

  /**
   * Returns the priorities that are capped or ignored because they are no ranks.
   *
   * @param routes routes of the desired state
   * @param workspaces workspaces of the desired state
   */
  public static List<OddPriority> oddPriorities(
      Iterable<Route> routes, Iterable<Workspace> workspaces) {
    List<OddPriority> odd = new ArrayList<>();
    for (Route route : routes) {
      if (route.priority() < 0 || route.priority() > LAST) {
        odd.add(new OddPriority("route " + route.name() + " priority", route.priority()));
      }
    }
    for (Workspace workspace : workspaces) {
      if (workspace.priority() < NO_PRIORITY || workspace.priority() > LAST) {
        String field = "workspace " + workspace.name() + " priority";
        odd.add(new OddPriority(field, workspace.priority()));
      }
    }
    return odd;
  }
}
