package org.clementinesail.server.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ReplicaStore} with truncated writes, corrupt files and failing disks. */
public final class ReplicaStoreTest {
  private static final ReplicaId SELF = new ReplicaId("vm-1", 7);
  private static final Snapshot INITIAL_SNAPSHOT =
      new Snapshot(0, 0, new ReplicaConfig(List.of(SELF), List.of()), new byte[0]);

  private static LogEntry entry(long index, long term) {
    return new LogEntry(
        index, term, new LogEntry.Command(("entry " + index).getBytes(StandardCharsets.UTF_8)));
  }

  private static Output.Save entries(LogEntry... entries) {
    return new Output.SaveEntries(List.of(entries));
  }

  private static List<Long> indexes(ReplicaStore store) {
    return store.loadedState().entries().stream().map(LogEntry::index).toList();
  }

  private static Path findLog(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(f -> f.getFileName().toString().startsWith("log-"))
          .findFirst()
          .orElseThrow();
    }
  }

  /** Creates a new folder for each test. */
  public abstract static class TemporaryFolder {
    Path folder = Path.of(".");

    /** Creates an empty folder. */
    @BeforeMethod
    public void createFolder() throws IOException {
      folder = Files.createTempDirectory("replica");
    }

    /** Deletes the folder and all files in it. */
    @AfterMethod
    public void deleteFolder() throws IOException {
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }

    @SafeVarargs
    final void saveBatches(List<Output.Save>... batches) throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(List.of(new Output.SaveSnapshot(9, INITIAL_SNAPSHOT)));
        for (List<Output.Save> batch : batches) {
          store.save(batch);
        }
      }
    }
  }

  /** State that a store loads after a restart, syncs and the lock. */
  public static final class RestartTest extends TemporaryFolder {
    /** Term, vote and entries are loaded as last saved, also where entries replaced others. */
    @Test
    public void restoresLatestState() throws StorageException {
      saveBatches(
          List.of(new Output.SaveVote(3, SELF), entries(entry(1, 3), entry(2, 3))),
          List.of(entries(entry(2, 4), entry(3, 4))),
          List.of(new Output.SaveVote(5, null)));
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertEquals(store.loadedState().term(), 5);
        assertEquals(store.loadedState().votedFor(), null);
        assertEquals(indexes(store), List.of(1L, 2L, 3L));
        assertEquals(store.loadedState().entries().get(1).term(), 4);
      }
    }

    /** A snapshot replaces the log that it covers; the entries after it stay. */
    @Test
    public void snapshotReplacesCoveredLog() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(
            List.of(new Output.SaveSnapshot(9, INITIAL_SNAPSHOT), new Output.SaveVote(2, SELF)));
        store.save(List.of(entries(entry(1, 2), entry(2, 2), entry(3, 2))));
        store.compact(
            new Snapshot(2, 2, INITIAL_SNAPSHOT.config(), new byte[] {1}), List.of(entry(3, 2)));
      }
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertEquals(store.loadedState().snapshot().index(), 2);
        assertEquals(store.loadedState().term(), 2);
        assertEquals(indexes(store), List.of(3L));
      }
    }

    /** 100 entries saved in one batch need one sync. */
    @Test
    public void batchIsSyncedOnce() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(List.of(new Output.SaveSnapshot(9, INITIAL_SNAPSHOT)));
        long before = store.syncCount();
        List<Output.Save> batch = new ArrayList<>();
        for (int i = 1; i <= 100; i++) {
          batch.add(entries(entry(i, 1)));
        }
        store.save(batch);
        assertEquals(store.syncCount() - before, 1);
      }
    }

    /** A folder cannot be opened a second time while it is open. */
    @Test
    public void openFolderIsLocked() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertNotEquals(store.diskId(), 0);
        expectThrows(StorageException.class, () -> ReplicaStore.open(folder));
      }
    }
  }

  /** Truncated and corrupt files. */
  public static final class CorruptionTest extends TemporaryFolder {
    /** Wherever the last record is truncated, all records before it are loaded. */
    @Test
    public void truncatedLastRecordIsDropped() throws Exception {
      saveBatches(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = findLog(folder);
      byte[] original = Files.readAllBytes(log);
      int lastRecord = lastRecordStart(original);
      for (int length = lastRecord; length < original.length; length++) {
        Files.write(log, Arrays.copyOf(original, length));
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          assertEquals(indexes(store), List.of(1L), "truncated at byte " + length);
        }
      }
    }

    /** Whichever byte of the last record is corrupt, the whole record is dropped. */
    @Test
    public void corruptLastRecordIsDropped() throws Exception {
      saveBatches(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = findLog(folder);
      byte[] original = Files.readAllBytes(log);
      for (int offset = lastRecordStart(original); offset < original.length; offset++) {
        byte[] corrupted = original.clone();
        corrupted[offset] ^= 0x40;
        Files.write(log, corrupted);
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          assertEquals(indexes(store), List.of(1L), "corrupt byte " + offset);
        }
      }
    }

    /** Whichever byte before the last record is corrupt, opening the folder fails. */
    @Test
    public void corruptEarlierRecordIsReported() throws Exception {
      saveBatches(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = findLog(folder);
      byte[] original = Files.readAllBytes(log);
      for (int offset = 0; offset < lastRecordStart(original); offset++) {
        byte[] corrupted = original.clone();
        corrupted[offset] ^= 0x40;
        Files.write(log, corrupted);
        expectThrows(StorageException.Corrupted.class, () -> ReplicaStore.open(folder));
      }
    }

    /** A missing log is not treated as an empty log. */
    @Test
    public void missingLogIsReported() throws Exception {
      saveBatches(List.of(entries(entry(1, 1))));
      Files.delete(findLog(folder));
      expectThrows(StorageException.Corrupted.class, () -> ReplicaStore.open(folder));
    }

    /** A discarded folder is blank and has another disk id when opened again. */
    @Test
    public void discardedFolderGetsNewDiskId() throws Exception {
      long before;
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        before = store.diskId();
        store.save(List.of(new Output.SaveSnapshot(9, INITIAL_SNAPSHOT)));
      }
      ReplicaStore.discard(folder);
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertNotEquals(store.diskId(), before);
        assertEquals(store.loadedState().clusterId(), 0);
      }
    }

    private static int lastRecordStart(byte[] file) {
      int start = 0;
      int offset = 0;
      while (offset < file.length) {
        start = offset;
        offset += RecordFormat.HEADER_BYTES + ByteBuffer.wrap(file).getInt(offset + 4);
      }
      return start;
    }
  }

  /** Disks that fail during writes and syncs. */
  public static final class FailingDiskTest extends TemporaryFolder {
    /** Disk that fails after a given number of operations. */
    private static final class FailingDisk implements DiskOps {
      private int remainingOperations;

      FailingDisk(int remainingOperations) {
        this.remainingOperations = remainingOperations;
      }

      @Override
      public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        countOperation();
        DiskOps.REAL.write(channel, bytes);
      }

      @Override
      public void sync(FileChannel channel) throws IOException {
        countOperation();
        DiskOps.REAL.sync(channel);
      }

      private void countOperation() throws IOException {
        if (remainingOperations-- <= 0) {
          throw new IOException("No space left on device");
        }
      }
    }

    /**
     * Wherever the disk fails while entries or snapshots are saved, the store loads the state from
     * before or after the failed operation: no entry saved before is lost.
     */
    @Test
    public void diskFailureKeepsSavedEntries() throws Exception {
      for (int operations = 0; operations < 24; operations++) {
        createFolder();
        long savedIndex = runUntilFailure(operations);
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          long lastIndex =
              store.loadedState().snapshot().index() + store.loadedState().entries().size();
          assertTrue(
              lastIndex >= savedIndex,
              operations + " operations: " + lastIndex + " of " + savedIndex);
        }
        deleteFolder();
      }
      createFolder();
    }

    private long runUntilFailure(int operations) throws StorageException {
      long savedIndex = 0;
      ReplicaStore.open(folder).close();
      try (ReplicaStore store = ReplicaStore.open(folder, new FailingDisk(operations))) {
        store.save(List.of(new Output.SaveSnapshot(9, INITIAL_SNAPSHOT)));
        for (long index = 1; index <= 6; index++) {
          store.save(List.of(entries(entry(index, 1))));
          savedIndex = index;
          if (index == 3) {
            store.compact(
                new Snapshot(2, 1, INITIAL_SNAPSHOT.config(), new byte[0]), List.of(entry(3, 1)));
          }
        }
      } catch (StorageException e) {
        assertTrue(e.getMessage().contains("the disk is full or fails"), e.getMessage());
      }
      return savedIndex;
    }
  }

  /** Power losses after a process was killed before it could sync what it had written. */
  public static final class UnsyncedWriteTest extends TemporaryFolder {
    /** Disk whose writes reach the file, and whose syncs fail or are counted. */
    private static final class CountingDisk implements DiskOps {
      private final Set<Long> syncedSizes = new HashSet<>();
      private boolean killedBeforeSync;

      @Override
      public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        DiskOps.REAL.write(channel, bytes);
      }

      @Override
      public void sync(FileChannel channel) throws IOException {
        if (killedBeforeSync) {
          throw new IOException("the process is killed");
        }
        syncedSizes.add(channel.size());
      }
    }

    /** Entries that a killed process has not synced are synced before its successor trusts them. */
    @Test
    public void loadedEntriesSurvivePowerLoss() throws Exception {
      saveBatches(List.of(entries(entry(1, 1))));
      CountingDisk killed = new CountingDisk();
      try (ReplicaStore store = ReplicaStore.open(folder, killed)) {
        killed.killedBeforeSync = true;
        expectThrows(
            StorageException.class, () -> store.save(List.of(entries(entry(2, 1), entry(3, 1)))));
      }
      CountingDisk disk = new CountingDisk();
      try (ReplicaStore store = ReplicaStore.open(folder, disk)) {
        assertEquals(indexes(store), List.of(1L, 2L, 3L));
        assertTrue(disk.syncedSizes.contains(Files.size(findLog(folder))), "log was not synced");
        assertTrue(disk.syncedSizes.size() > 1, "names of the files were not synced");
      }
    }
  }
}
