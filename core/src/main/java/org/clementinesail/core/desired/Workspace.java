package org.clementinesail.core.desired;

import java.util.List;

/**
 * A workspace and the API keys of its callers.
 *
 * @param name name of the workspace
 * @param keys API keys; no other workspace may have them
 * @param priority priority that overrides the route's; -1 to use the route's
 */
public record Workspace(String name, List<String> keys, int priority) {
  /** Makes the list of keys immutable by copying it. */
  public Workspace {
    keys = List.copyOf(keys);
  }

  @Override
  public String toString() {
    return "Workspace[" + name + ", " + keys.size() + " keys]";
  }
}
