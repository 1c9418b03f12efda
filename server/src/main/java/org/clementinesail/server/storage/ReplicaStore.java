package org.clementinesail.server.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.replication.StoredState;
import org.clementinesail.wire.ReplicaCodec;
import org.clementinesail.wire.proto.LogBatch;
import org.clementinesail.wire.proto.LogRecord;
import org.clementinesail.wire.proto.SnapshotFile;
import org.clementinesail.wire.proto.VoteRecord;
import org.jspecify.annotations.Nullable;

/**
 * Stores the snapshot and the log of one replica in its data folder.
 *
 * <p>The snapshot file holds the number (generation) of the log file that continues it, so that
 * renaming the snapshot file replaces both atomically. State is saved only once {@link #save}
 * returns. What a killed process wrote without a sync is synced before it is loaded.
 *
 * <pre>{@code
 * ReplicaStore store = ReplicaStore.open(folder);
 * ReplicaId id = new ReplicaId(vm, store.diskId());
 * ReplicaCore core = new ReplicaCore(id, ..., store.loadedState(), ...);
 * store.save(saves);
 * }</pre>
 */
public final class ReplicaStore implements AutoCloseable {
  private static final String SNAPSHOT_FILE = "snapshot";
  private static final String LOG_PREFIX = "log-";

  private final DataFolder folder;
  private final long diskId;
  private long generation;
  private long clusterId;
  private long term;
  private @Nullable ReplicaId votedFor;
  private @Nullable FileChannel log;
  private StoredState loadedState = StoredState.blank();

  private ReplicaStore(DataFolder folder, long diskId) {
    this.folder = folder;
    this.diskId = diskId;
  }

  /**
   * Opens a data folder and locks it against other processes.
   *
   * @param folder an existing folder
   * @throws StorageException.Corrupted if accepted state may be lost; see {@link #discard}
   * @throws StorageException if the folder is in use or cannot be read or written
   */
  public static ReplicaStore open(Path folder) throws StorageException {
    return open(folder, DiskOps.REAL);
  }

  static ReplicaStore open(Path folder, DiskOps disk) throws StorageException {
    DataFolder data = DataFolder.open(folder, disk);
    @Nullable ReplicaStore store = null;
    boolean loaded = false;
    try {
      data.deleteTemporaryFiles();
      boolean snapshotExists = DataFolder.exists(data.path(SNAPSHOT_FILE));
      store = new ReplicaStore(data, data.readOrCreateIdentity(snapshotExists));
      store.load();
      loaded = true;
      return store;
    } catch (IOException e) {
      throw new StorageException(folder, "cannot be read or written: " + e.getMessage(), e);
    } finally {
      // Also after an unchecked exception: a folder that stayed locked could not be opened again.
      if (!loaded) {
        closeFailed(store, data);
      }
    }
  }

  private static void closeFailed(@Nullable ReplicaStore store, DataFolder data) {
    if (store == null) {
      data.close();
    } else {
      store.close();
    }
  }

  /**
   * Deletes all state in a data folder. When opened again, the folder belongs to a new, blank
   * replica with another disk id.
   *
   * @param folder folder that is not open
   * @throws StorageException if the folder is in use or cannot be written
   */
  public static void discard(Path folder) throws StorageException {
    try (DataFolder data = DataFolder.open(folder, DiskOps.REAL)) {
      data.discard();
    } catch (IOException e) {
      throw new StorageException(folder, "the state cannot be deleted: " + e.getMessage(), e);
    }
  }

  /** Returns the random number that identifies this disk; never 0. */
  public long diskId() {
    return diskId;
  }

  /** Returns the state that the folder held when it was opened. */
  public StoredState loadedState() {
    return loadedState;
  }

  /** Returns how often this store has synced a file since it was opened. */
  public long syncCount() {
    return folder.syncCount();
  }

  /** Returns how many bytes this store has written since it was opened. */
  public long bytesWritten() {
    return folder.bytesWritten();
  }

  /**
   * Writes saves in order. Votes and entries share one sync; each snapshot adds syncs of its own.
   *
   * @param saves saves of one batch of outputs
   * @throws StorageException if the disk is full or fails; the store must not be used afterwards
   */
  public void save(List<Output.Save> saves) throws StorageException {
    try {
      List<LogRecord> batch = new ArrayList<>();
      for (Output.Save save : saves) {
        if (save instanceof Output.SaveSnapshot s) {
          batch.clear();
          clusterId = s.clusterId();
          replaceSnapshotAndLog(s.snapshot(), List.of());
        } else if (save instanceof Output.SaveVote v) {
          term = v.term();
          votedFor = v.votedFor();
          batch.add(voteRecord());
        } else if (save instanceof Output.SaveEntries e) {
          e.entries().forEach(entry -> batch.add(entryRecord(entry)));
        }
      }
      append(batch);
    } catch (IOException e) {
      throw new StorageException(
          folder.folder(), "the disk is full or fails: " + e.getMessage(), e);
    }
  }

  /**
   * Replaces the log up to a snapshot with the snapshot.
   *
   * @param snapshot snapshot of this replica's own state
   * @param tail entries after the snapshot, which stay in the log
   * @throws StorageException if the disk is full or fails; the store must not be used afterwards
   */
  public void compact(Snapshot snapshot, List<LogEntry> tail) throws StorageException {
    try {
      replaceSnapshotAndLog(snapshot, tail);
    } catch (IOException e) {
      throw new StorageException(
          folder.folder(), "the disk is full or fails: " + e.getMessage(), e);
    }
  }

  @Override
  public void close() {
    if (log != null) {
      DataFolder.closeQuietly(log);
    }
    folder.close();
  }

  private void load() throws IOException, StorageException {
    Path snapshotPath = folder.path(SNAPSHOT_FILE);
    if (!DataFolder.exists(snapshotPath)) {
      deleteStaleLogs(-1); // without a snapshot, every log is stale
      return;
    }
    SnapshotFile file = readSnapshot(snapshotPath);
    generation = file.getGeneration();
    clusterId = file.getCluster();
    Snapshot snapshot = ReplicaCodec.decode(file.getSnapshot());
    List<LogEntry> entries = readLog(snapshot);
    folder.syncFolder();
    loadedState = new StoredState(clusterId, term, votedFor, snapshot, entries);
    deleteStaleLogs(generation);
  }

  private SnapshotFile readSnapshot(Path path) throws IOException, StorageException {
    try {
      return SnapshotFile.parseFrom(folder.readRecord(path));
    } catch (InvalidProtocolBufferException e) {
      throw new StorageException.Corrupted(path, "the snapshot cannot be decoded");
    }
  }

  private List<LogEntry> readLog(Snapshot snapshot) throws IOException, StorageException {
    Path path = logPath(generation);
    if (!DataFolder.exists(path)) {
      throw new StorageException.Corrupted(
          path, "the log file that the snapshot refers to is missing");
    }
    RecordFormat.Scan scan = RecordFormat.scan(ByteBuffer.wrap(Files.readAllBytes(path)));
    if (scan.corrupted()) {
      throw new StorageException.Corrupted(
          path,
          "an invalid record is followed by a valid one; invalid at byte " + scan.validBytes());
    }
    FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE);
    log = channel;
    if (scan.validBytes() < channel.size()) {
      folder.truncate(channel, scan.validBytes());
    }
    folder.sync(channel);
    channel.position(scan.validBytes());
    List<LogEntry> entries = new ArrayList<>();
    for (byte[] payload : scan.payloads()) {
      replay(payload, snapshot, entries);
    }
    return entries;
  }

  private void replay(byte[] payload, Snapshot snapshot, List<LogEntry> entries)
      throws StorageException {
    try {
      for (LogRecord record : LogBatch.parseFrom(payload).getRecordsList()) {
        if (record.hasVote()) {
          VoteRecord vote = record.getVote();
          term = vote.getTerm();
          votedFor = vote.hasVotedFor() ? ReplicaCodec.decode(vote.getVotedFor()) : null;
        } else {
          insertEntry(ReplicaCodec.decode(record.getEntry()), snapshot, entries);
        }
      }
    } catch (InvalidProtocolBufferException e) {
      throw new StorageException.Corrupted(logPath(generation), "a record cannot be decoded");
    }
  }

  private void insertEntry(LogEntry entry, Snapshot snapshot, List<LogEntry> entries)
      throws StorageException {
    long offset = entry.index() - snapshot.index() - 1;
    if (offset < 0) {
      return;
    }
    if (offset > entries.size()) {
      throw new StorageException.Corrupted(
          logPath(generation), "entry " + entry.index() + " leaves a gap after the previous entry");
    }
    entries.subList((int) offset, entries.size()).clear();
    entries.add(entry);
  }

  /** Writes a new log, then the snapshot that refers to it; the rename activates both. */
  private void replaceSnapshotAndLog(Snapshot snapshot, List<LogEntry> tail) throws IOException {
    long nextGeneration = generation + 1;
    FileChannel nextLog = folder.create(logPath(nextGeneration));
    FileChannel oldLog = log;
    log = nextLog;
    if (oldLog != null) {
      DataFolder.closeQuietly(oldLog);
    }
    List<LogRecord> records = new ArrayList<>();
    records.add(voteRecord());
    tail.forEach(entry -> records.add(entryRecord(entry)));
    append(records);
    SnapshotFile file =
        SnapshotFile.newBuilder()
            .setCluster(clusterId)
            .setGeneration(nextGeneration)
            .setSnapshot(ReplicaCodec.encode(snapshot))
            .build();
    folder.replaceFile(SNAPSHOT_FILE, file.toByteArray());
    generation = nextGeneration;
    deleteStaleLogs(generation);
  }

  private void append(List<LogRecord> records) throws IOException {
    if (records.isEmpty()) {
      return;
    }
    FileChannel channel = log;
    if (channel == null) {
      throw new IOException("a blank replica has no log before its first snapshot");
    }
    folder.append(channel, LogBatch.newBuilder().addAllRecords(records).build().toByteArray());
  }

  private void deleteStaleLogs(long currentGeneration) throws IOException {
    for (Path file : folder.files()) {
      String name = file.getFileName().toString();
      if (name.startsWith(LOG_PREFIX) && !name.equals(LOG_PREFIX + currentGeneration)) {
        folder.delete(file);
      }
    }
  }

  private Path logPath(long logGeneration) {
    return folder.path(LOG_PREFIX + logGeneration);
  }

  private LogRecord voteRecord() {
    VoteRecord.Builder vote = VoteRecord.newBuilder().setTerm(term);
    if (votedFor != null) {
      vote.setVotedFor(ReplicaCodec.encode(votedFor));
    }
    return LogRecord.newBuilder().setVote(vote).build();
  }

  private static LogRecord entryRecord(LogEntry entry) {
    return LogRecord.newBuilder().setEntry(ReplicaCodec.encode(entry)).build();
  }
}
