package org.clementinesail.server.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a folder on a disk that refuses some operations, whichever, and then works again. */
public final class RefusingDiskTest {
  private static final ReplicaId SELF = new ReplicaId("vm-1", 7);
  private static final ReplicaConfig CONFIG = new ReplicaConfig(List.of(SELF), List.of());
  private static final long CLUSTER_ID = 9;
  private static final int MAX_ATTEMPTS = 30;

  /** Operations of the longest run; a run that meets no refusal ends the test. */
  private static final int MAX_OPERATIONS = 200;

  private static final int MAX_REFUSALS = 6;

  /** Opens the lock, then creates, writes, syncs and renames the identity and syncs the folder. */
  private static final int OPERATIONS_OF_FIRST_OPEN = 6;

  private Path folder = Path.of(".");

  /** Creates an empty folder. */
  @BeforeMethod
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("replica");
  }

  /** Deletes the folder. */
  @AfterMethod(alwaysRun = true)
  public void deleteFolder() throws IOException {
    MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  /** Disk that refuses some operations in a row; a refused write leaves half of its bytes. */
  private static class RefusingDisk implements DiskOps {
    private final int firstRefused;
    private final int refusals;
    private int operations;

    RefusingDisk(int firstRefused, int refusals) {
      this.firstRefused = firstRefused;
      this.refusals = refusals;
    }

    boolean refused() {
      return operations > firstRefused;
    }

    boolean refuses() {
      int operation = operations++;
      return operation >= firstRefused && operation < firstRefused + refusals;
    }

    IOException refusal() {
      return new IOException("No space left on device");
    }

    private void check() throws IOException {
      if (refuses()) {
        throw refusal();
      }
    }

    @Override
    public FileChannel openLock(Path file) throws IOException {
      check();
      return DiskOps.super.openLock(file);
    }

    @Override
    public FileChannel create(Path file) throws IOException {
      check();
      return DiskOps.super.create(file);
    }

    @Override
    public void write(FileChannel channel, ByteBuffer bytes) throws IOException {
      if (refuses()) {
        DiskOps.super.write(channel, bytes.slice(0, bytes.remaining() / 2));
        throw refusal();
      }
      DiskOps.super.write(channel, bytes);
    }

    @Override
    public void truncate(FileChannel channel, long length) throws IOException {
      check();
      DiskOps.super.truncate(channel, length);
    }

    @Override
    public void sync(FileChannel channel) throws IOException {
      check();
      DiskOps.super.sync(channel);
    }

    @Override
    public void move(Path from, Path to) throws IOException {
      check();
      DiskOps.super.move(from, to);
    }

    @Override
    public void delete(Path file) throws IOException {
      check();
      DiskOps.super.delete(file);
    }
  }

  /** Disk that fails with an unchecked exception once. */
  private static final class ThrowingDisk extends RefusingDisk {
    ThrowingDisk(int firstRefused) {
      super(firstRefused, 1);
    }

    @Override
    IOException refusal() {
      throw new IllegalStateException("thrown by the test");
    }
  }

  /** A replica's use of its store: each step is repeated until the disk accepts it. */
  private static final class Writer {
    private final Path folder;
    private final DiskOps disk;
    private @Nullable ReplicaStore store;
    private long diskId;
    private long term;
    private long snapshotIndex = -1;
    private long lastIndex;

    Writer(Path folder, DiskOps disk) {
      this.folder = folder;
      this.disk = disk;
    }

    /** Saves entries, compacts, installs a snapshot and opens the folder again. */
    void run() throws StorageException {
      install(0);
      save(1, 1);
      save(1, 3);
      compact(2);
      save(2, 2);
      install(10);
      save(3, 2);
      close();
      save(4, 1);
      compact(12);
      save(4, 1);
      close();
    }

    private void close() {
      if (store != null) {
        store.close();
      }
      store = null;
    }

    private interface Step {
      void on(ReplicaStore open) throws StorageException;
    }

    private void perform(Step step) throws StorageException {
      for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        try {
          step.on(opened());
          return;
        } catch (StorageException.Corrupted e) {
          throw e;
        } catch (StorageException e) {
          close();
        }
      }
      throw new StorageException(folder, "does not work although the disk does", null);
    }

    /** Opens the store as a replica does after a failure, and checks what it holds. */
    private ReplicaStore opened() throws StorageException {
      if (store != null) {
        return store;
      }
      ReplicaStore open = ReplicaStore.open(folder, disk);
      store = open;
      if (snapshotIndex >= 0) {
        assertEquals(open.diskId(), diskId);
        check(open);
      }
      diskId = open.diskId();
      if (open.loadedState().clusterId() != 0) {
        open.compact(open.loadedState().snapshot(), open.loadedState().entries());
      }
      return open;
    }

    private void check(ReplicaStore open) {
      assertEquals(open.loadedState().clusterId(), CLUSTER_ID);
      assertTrue(open.loadedState().term() >= term, "a vote is lost");
      assertTrue(open.loadedState().snapshot().index() >= snapshotIndex, "a snapshot is lost");
      long last = open.loadedState().snapshot().index() + open.loadedState().entries().size();
      assertTrue(last >= lastIndex, "entry " + lastIndex + " is lost, the last is " + last);
    }

    private void save(long newTerm, int count) throws StorageException {
      List<LogEntry> entries = new ArrayList<>();
      for (int i = 1; i <= count; i++) {
        entries.add(entry(lastIndex + i, newTerm));
      }
      perform(
          open ->
              open.save(
                  List.of(new Output.SaveVote(newTerm, SELF), new Output.SaveEntries(entries))));
      term = newTerm;
      lastIndex += count;
    }

    private void compact(long index) throws StorageException {
      List<LogEntry> tail = new ArrayList<>();
      for (long i = index + 1; i <= lastIndex; i++) {
        tail.add(entry(i, term));
      }
      perform(open -> open.compact(new Snapshot(index, term, CONFIG, new byte[100]), tail));
      snapshotIndex = index;
    }

    private void install(long index) throws StorageException {
      Snapshot snapshot = new Snapshot(index, term, CONFIG, new byte[100]);
      perform(open -> open.save(List.of(new Output.SaveSnapshot(CLUSTER_ID, snapshot))));
      snapshotIndex = index;
      lastIndex = index;
    }

    private static LogEntry entry(long index, long term) {
      return new LogEntry(
          index, term, new LogEntry.Command(("entry " + index).getBytes(StandardCharsets.UTF_8)));
    }
  }

  /**
   * Whichever operations the disk refuses and whenever it works again: what was saved is there, no
   * state counts as corrupted, and no file but the current ones remains.
   */
  @Test
  public void refusedOperationsLoseNothing() throws Exception {
    for (int refusals = 1; refusals <= MAX_REFUSALS; refusals++) {
      int first = 0;
      RefusingDisk disk = new RefusingDisk(0, refusals);
      do {
        assertTrue(first < MAX_OPERATIONS, "the runs do not end");
        deleteFolder();
        createFolder();
        disk = new RefusingDisk(first, refusals);
        Writer writer = new Writer(folder, disk);
        try {
          writer.run();
        } catch (StorageException e) {
          throw new AssertionError("refused: " + first + ", " + refusals + " in a row", e);
        }
        assertEquals(fileNames().size(), 4, "refused: " + first + ": " + fileNames());
        first++;
      } while (disk.refused());
    }
  }

  private List<String> fileNames() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    }
  }

  /** What a refused snapshot has written is deleted as the folder is opened again. */
  @Test
  public void leftoversOfRefusedFilesAreDeleted() throws Exception {
    try (ReplicaStore store = ReplicaStore.open(folder)) {
      store.save(
          List.of(new Output.SaveSnapshot(CLUSTER_ID, new Snapshot(0, 0, CONFIG, new byte[0]))));
    }
    Files.write(folder.resolve("snapshot.tmp"), new byte[1_000]);
    Files.write(folder.resolve("identity.tmp"), new byte[1_000]);
    Files.write(folder.resolve("log-77"), new byte[1_000]);
    ReplicaStore.open(folder).close();
    assertEquals(fileNames(), List.of("identity", "lock", "log-1", "snapshot"));
  }

  /** An unchecked exception while the folder is opened does not leave it locked. */
  @Test
  public void uncheckedExceptionDoesNotLeaveFolderLocked() throws Exception {
    for (int first = 0; first < OPERATIONS_OF_FIRST_OPEN; first++) {
      DiskOps disk = new ThrowingDisk(first);
      expectThrows(IllegalStateException.class, () -> ReplicaStore.open(folder, disk));
      ReplicaStore.open(folder).close();
      deleteFolder();
      createFolder();
    }
  }
}
