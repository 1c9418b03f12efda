package org.clementinesail.server.nodes;

import java.util.List;
import org.clementinesail.server.storage.StorageException;

/** A VM process, either {@link ControlNode} or {@link EntryNode}. */
public interface Node {

  /**
   * Starts to accept connections and to connect to control VMs.
   *
   * @throws StorageException if the data folder cannot be used
   */
  void start() throws StorageException;

  /**
   * Replaces the seeds from the settings.
   *
   * @param seeds addresses ({@code host:port}) where some control VMs accept other VMs
   */
  void replaceSeeds(List<String> seeds);

  /** Stops gracefully and blocks until the process may exit; an interrupt shortens the wait. */
  void stop();
}
