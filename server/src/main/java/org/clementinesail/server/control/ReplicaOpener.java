package org.clementinesail.server.control;

import java.util.function.Function;
import org.clementinesail.core.replication.ReplicaCore;
import org.clementinesail.core.replication.Role;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;

/**
 * Opens the files of a replica, at the start of a process and after each failure of the disk.
 *
 * <pre>{@code
 * ReplicaOpener opener = () -> {
 *   ReplicaStore store = ReplicaStore.open(folder);
 *   return new OpenReplica(newCore(store.diskId(), store.loadedState()), store);
 * };
 * }</pre>
 */
@FunctionalInterface
public interface ReplicaOpener {
  /**
   * A replica and its files.
   *
   * @param core replication state machine with the state that the files held
   * @param store files of the replica, which the receiver closes
   */
  record OpenReplica(ReplicaCore core, ReplicaStore store) {
    /**
     * Creates a replica from its files, which are closed if that fails: a folder that stayed locked
     * could not be opened again.
     *
     * @param store open files
     * @param factory creates the state machine from the state that the files hold
     * @return the replica
     */
    public static OpenReplica create(
        ReplicaStore store, Function<ReplicaStore, ReplicaCore> factory) {
      boolean created = false;
      try {
        ReplicaCore core = factory.apply(store);
        created = true;
        return new OpenReplica(core, store);
      } finally {
        if (!created) {
          store.close();
        }
      }
    }
  }

  /**
   * Opens the files and creates a replica from them.
   *
   * @return the replica
   * @throws StorageException if the files cannot be read or written
   */
  OpenReplica open() throws StorageException;

  /**
   * Opens the files after a failure and writes them again, because after a failed sync they may
   * hold more than the disk does.
   *
   * @return the replica
   * @throws StorageException if the files cannot be read or written
   */
  default OpenReplica reopen() throws StorageException {
    OpenReplica opened = open();
    ReplicaCore core = opened.core();
    boolean written = false;
    try {
      if (core.role() != Role.BLANK) {
        opened.store().compact(core.snapshot(), core.entriesAfterSnapshot());
      }
      written = true;
      return opened;
    } finally {
      if (!written) {
        opened.store().close();
      }
    }
  }
}
