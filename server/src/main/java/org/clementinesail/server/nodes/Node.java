package org.clementinesail.server.nodes;

import java.util.List;

/** A VM process, either {@link ControlNode} or {@link EntryNode}. */
public interface Node {

  /**
   * Starts to accept connections and to connect to control VMs. A data folder that cannot be used,
   * such as on a full disk, is tried again until it can.
   */
  void start();

  /**
   * Replaces the seeds from the settings.
   *
   * @param seeds addresses ({@code host:port}) where some control VMs accept other VMs
   */
  void replaceSeeds(List<String> seeds);

  /** Stops gracefully and blocks until the process may exit; an interrupt shortens the wait. */
  void stop();
}
