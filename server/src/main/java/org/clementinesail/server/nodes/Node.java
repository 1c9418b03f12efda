package org.clementinesail.server.nodes;

import java.util.List;
import org.clementinesail.server.storage.StorageException;

/** A process of the system. */
public interface Node {

  /**
   * Begins to run.
   *
   * @throws StorageException if the data folder cannot be used
   */
  void start() throws StorageException;

  /**
   * Replaces the addresses of control VMs that the settings name.
   *
   * @param seeds where they accept other VMs
   */
  void replaceSeeds(List<String> seeds);

  /** Stops gracefully; returns when the process may end. */
  void stop();
}
