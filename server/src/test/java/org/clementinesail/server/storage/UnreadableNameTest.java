package org.clementinesail.server.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.replication.StoredState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a file of which the disk does not tell whether it exists is not taken for missing. */
public final class UnreadableNameTest {
  private static final long TERM = 3;

  /** Names of the files of a folder. */
  @DataProvider
  public Object[][] names() {
    return new Object[][] {{"snapshot"}, {"identity"}, {"log-1"}};
  }

  /** State is neither deleted nor discarded, and is there once the disk works again. */
  @Test(dataProvider = "names")
  public void unreadableFileDoesNotCountAsMissing(String name) throws Exception {
    Path folder = Files.createTempDirectory("replica");
    Path moved = Files.createTempDirectory("moved").resolve(name);
    save(folder);
    Path file = folder.resolve(name);
    Files.move(file, moved);
    // A link to itself cannot be looked up.
    Files.createSymbolicLink(file, file.getFileName());
    StorageException failure =
        expectThrows(StorageException.class, () -> ReplicaStore.open(folder).close());
    assertFalse(failure instanceof StorageException.Corrupted, failure.getMessage());
    Files.delete(file);
    Files.move(moved, file);
    try (ReplicaStore store = ReplicaStore.open(folder)) {
      StoredState loaded = store.loadedState();
      assertEquals(loaded.term(), TERM);
      assertEquals(loaded.entries().size(), 1);
    }
    MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
    Files.delete(moved.getParent());
  }

  private static void save(Path folder) throws StorageException {
    ReplicaId self = new ReplicaId("vm-1", 7);
    ReplicaConfig config = new ReplicaConfig(List.of(self), List.of());
    LogEntry entry = new LogEntry(1, TERM, new LogEntry.Command(new byte[] {1}));
    try (ReplicaStore store = ReplicaStore.open(folder)) {
      store.save(
          List.of(
              new Output.SaveSnapshot(9, new Snapshot(0, 0, config, new byte[0])),
              new Output.SaveVote(TERM, self),
              new Output.SaveEntries(List.of(entry))));
    }
  }
}
