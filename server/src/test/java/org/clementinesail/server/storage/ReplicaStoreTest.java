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
import java.util.List;
import java.util.stream.Stream;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The replica's files under torn writes, damage and failing disks. */
public final class ReplicaStoreTest {
  private static final ReplicaId SELF = new ReplicaId("vm-1", 7);
  private static final Snapshot FOUNDING =
      new Snapshot(0, 0, new ReplicaConfig(List.of(SELF), List.of()), new byte[0]);

  private static LogEntry entry(long index, long term) {
    return new LogEntry(
        index, term, new LogEntry.Command(("entry " + index).getBytes(StandardCharsets.UTF_8)));
  }

  private static Output.Save entries(LogEntry... entries) {
    return new Output.SaveEntries(List.of(entries));
  }

  private static List<Long> indexes(ReplicaStore store) {
    return store.loaded().entries().stream().map(LogEntry::index).toList();
  }

  private static Path logOf(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(f -> f.getFileName().toString().startsWith("log-"))
          .findFirst()
          .orElseThrow();
    }
  }

  /** Gives each test a folder of its own. */
  public abstract static class InFolder {
    Path folder = Path.of(".");

    /** Creates the folder. */
    @BeforeMethod
    public void createFolder() throws IOException {
      folder = Files.createTempDirectory("replica");
    }

    /** Deletes the folder. */
    @AfterMethod
    public void deleteFolder() throws IOException {
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }

    @SafeVarargs
    final void write(List<Output.Save>... batches) throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(List.of(new Output.SaveSnapshot(9, FOUNDING)));
        for (List<Output.Save> batch : batches) {
          store.save(batch);
        }
      }
    }
  }

  /** What comes back after a restart. */
  public static final class RestartTest extends InFolder {
    /** Term, vote, entries and replaced entries come back as they were saved last. */
    @Test
    public void comesBackWithTheLatestState() throws StorageException {
      write(
          List.of(new Output.SaveVote(3, SELF), entries(entry(1, 3), entry(2, 3))),
          List.of(entries(entry(2, 4), entry(3, 4))),
          List.of(new Output.SaveVote(5, null)));
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertEquals(store.loaded().term(), 5);
        assertEquals(store.loaded().votedFor(), null);
        assertEquals(indexes(store), List.of(1L, 2L, 3L));
        assertEquals(store.loaded().entries().get(1).term(), 4);
      }
    }

    /** A snapshot replaces the log that it covers, and keeps the tail. */
    @Test
    public void snapshotReplacesTheLog() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(List.of(new Output.SaveSnapshot(9, FOUNDING), new Output.SaveVote(2, SELF)));
        store.save(List.of(entries(entry(1, 2), entry(2, 2), entry(3, 2))));
        store.compact(new Snapshot(2, 2, FOUNDING.config(), new byte[] {1}), List.of(entry(3, 2)));
      }
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertEquals(store.loaded().snapshot().index(), 2);
        assertEquals(store.loaded().term(), 2);
        assertEquals(indexes(store), List.of(3L));
      }
    }

    /** Entries saved in one batch cost one sync. */
    @Test
    public void batchCostsOneSync() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        store.save(List.of(new Output.SaveSnapshot(9, FOUNDING)));
        long before = store.syncs();
        List<Output.Save> batch = new ArrayList<>();
        for (int i = 1; i <= 100; i++) {
          batch.add(entries(entry(i, 1)));
        }
        store.save(batch);
        assertEquals(store.syncs() - before, 1);
      }
    }

    /** Two processes do not share a folder. */
    @Test
    public void folderIsLocked() throws StorageException {
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertNotEquals(store.disk(), 0);
        expectThrows(StorageException.class, () -> ReplicaStore.open(folder));
      }
    }
  }

  /** Torn and damaged files. */
  public static final class DamageTest extends InFolder {
    /** Wherever the last write was cut short, everything before it comes back. */
    @Test
    public void tornLastRecordIsCutOff() throws Exception {
      write(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = logOf(folder);
      byte[] whole = Files.readAllBytes(log);
      int lastRecord = lastRecordStart(whole);
      for (int length = lastRecord; length < whole.length; length++) {
        Files.write(log, Arrays.copyOf(whole, length));
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          assertEquals(indexes(store), List.of(1L), "cut at byte " + length);
        }
      }
    }

    /** Whatever byte of the last record is wrong, it is cut off and never half believed. */
    @Test
    public void wrongByteInLastRecordCutsItOff() throws Exception {
      write(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = logOf(folder);
      byte[] whole = Files.readAllBytes(log);
      for (int at = lastRecordStart(whole); at < whole.length; at++) {
        byte[] wrong = whole.clone();
        wrong[at] ^= 0x40;
        Files.write(log, wrong);
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          assertEquals(indexes(store), List.of(1L), "wrong byte " + at);
        }
      }
    }

    /** Damage before the last record is never passed over, whatever byte it is in. */
    @Test
    public void damagedEarlierRecordIsRefused() throws Exception {
      write(List.of(entries(entry(1, 1))), List.of(entries(entry(2, 1))));
      Path log = logOf(folder);
      byte[] whole = Files.readAllBytes(log);
      for (int at = 0; at < lastRecordStart(whole); at++) {
        byte[] wrong = whole.clone();
        wrong[at] ^= 0x40;
        Files.write(log, wrong);
        expectThrows(StorageException.Damaged.class, () -> ReplicaStore.open(folder));
      }
    }

    /** A lost log is not taken for an empty one. */
    @Test
    public void missingLogIsRefused() throws Exception {
      write(List.of(entries(entry(1, 1))));
      Files.delete(logOf(folder));
      expectThrows(StorageException.Damaged.class, () -> ReplicaStore.open(folder));
    }

    /** A discarded folder comes back blank, under another disk number. */
    @Test
    public void discardedFolderIsAnotherReplica() throws Exception {
      long before;
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        before = store.disk();
        store.save(List.of(new Output.SaveSnapshot(9, FOUNDING)));
      }
      ReplicaStore.discard(folder);
      try (ReplicaStore store = ReplicaStore.open(folder)) {
        assertNotEquals(store.disk(), before);
        assertEquals(store.loaded().cluster(), 0);
      }
    }

    private static int lastRecordStart(byte[] whole) {
      int start = 0;
      int at = 0;
      while (at < whole.length) {
        start = at;
        at += RecordFormat.HEADER_BYTES + ByteBuffer.wrap(whole).getInt(at + 4);
      }
      return start;
    }
  }

  /** Disks that fail while they are written. */
  public static final class FailingDiskTest extends InFolder {
    /** A disk that takes a number of operations, then fails. */
    private static final class FailingDisk implements DiskOps {
      private int left;

      FailingDisk(int left) {
        this.left = left;
      }

      @Override
      public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        use();
        DiskOps.REAL.write(channel, bytes);
      }

      @Override
      public void sync(FileChannel channel) throws IOException {
        use();
        DiskOps.REAL.sync(channel);
      }

      private void use() throws IOException {
        if (left-- <= 0) {
          throw new IOException("No space left on device");
        }
      }
    }

    /**
     * Wherever the disk fails during saving and snapshots, what was saved before comes back: the
     * state before the failed operation or after it, never less.
     */
    @Test
    public void failureNeverLosesWhatWasSaved() throws Exception {
      for (int operations = 0; operations < 24; operations++) {
        createFolder();
        long saved = runUntilFailure(operations);
        try (ReplicaStore store = ReplicaStore.open(folder)) {
          long last = store.loaded().snapshot().index() + store.loaded().entries().size();
          assertTrue(last >= saved, operations + " operations: " + last + " of " + saved);
        }
        deleteFolder();
      }
      createFolder();
    }

    private long runUntilFailure(int operations) throws StorageException {
      long saved = 0;
      ReplicaStore.open(folder).close();
      try (ReplicaStore store = ReplicaStore.open(folder, new FailingDisk(operations))) {
        store.save(List.of(new Output.SaveSnapshot(9, FOUNDING)));
        for (long index = 1; index <= 6; index++) {
          store.save(List.of(entries(entry(index, 1))));
          saved = index;
          if (index == 3) {
            store.compact(new Snapshot(2, 1, FOUNDING.config(), new byte[0]), List.of(entry(3, 1)));
          }
        }
      } catch (StorageException e) {
        assertTrue(e.getMessage().contains("the disk is full or fails"), e.getMessage());
      }
      return saved;
    }
  }
}
