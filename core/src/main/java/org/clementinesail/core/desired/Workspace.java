package org.clementinesail.core.desired;

import java.util.List;

/**
 * A workspace and the keys that its callers show.
 *
 * @param name name of the workspace
 * @param keys API keys
 * @param priority rank that goes before the route's, or -1 where none is given
 */
public record Workspace(String name, List<String> keys, int priority) {
  /** Copies the keys. */
  public Workspace {
    keys = List.copyOf(keys);
  }

  @Override
  public String toString() {
    return "Workspace[" + name + ", " + keys.size() + " keys]";
  }
}
