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
 * The files of one replica in its data folder.
 *
 * <p>The snapshot names the log that continues it, so that renaming the snapshot switches both at
 * once. Nothing counts as saved before {@link #save} returns.
 *
 * <pre>{@code
 * ReplicaStore store = ReplicaStore.open(folder);
 * ReplicaCore core = new ReplicaCore(new ReplicaId(vm, store.disk()), ..., store.loaded(), ...);
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
   * @param folder the folder, which must exist
   * @throws StorageException.Corrupted if accepted state may be missing; see {@link #discard}
   * @throws StorageException if the folder is in use or cannot be read or written
   */
  public static ReplicaStore open(Path folder) throws StorageException {
    return open(folder, DiskOps.REAL);
  }

  static ReplicaStore open(Path folder, DiskOps disk) throws StorageException {
    DataFolder data = DataFolder.open(folder, disk);
    try {
      boolean snapshotExists = Files.exists(data.path(SNAPSHOT_FILE));
      ReplicaStore store = new ReplicaStore(data, data.readOrCreateIdentity(snapshotExists));
      store.load();
      return store;
    } catch (IOException e) {
      data.close();
      throw new StorageException(folder, "cannot be read or written: " + e.getMessage(), e);
    } catch (StorageException e) {
      data.close();
      throw e;
    }
  }

  /**
   * Deletes all state in a data folder. The replica comes back blank, as another replica.
   *
   * @param folder the folder
   * @throws StorageException if the folder is in use or cannot be written
   */
  public static void discard(Path folder) throws StorageException {
    try (DataFolder data = DataFolder.open(folder, DiskOps.REAL)) {
      data.discard();
    } catch (IOException e) {
      throw new StorageException(folder, "cannot be emptied: " + e.getMessage(), e);
    }
  }

  /** Returns the random number of this disk. */
  public long diskId() {
    return diskId;
  }

  /** Returns what the folder held when it was opened. */
  public StoredState loadedState() {
    return loadedState;
  }

  /** Returns how often this store waited for the disk. */
  public long syncCount() {
    return folder.syncCount();
  }

  /** Returns how many bytes this store has written. */
  public long bytesWritten() {
    return folder.bytesWritten();
  }

  /**
   * Writes saves in order and syncs once, or once more for each snapshot.
   *
   * @param saves what to save
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
   * Puts a snapshot in place of the log that it covers.
   *
   * @param snapshot snapshot of this replica's own state
   * @param tail entries after the snapshot
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
    if (!Files.exists(snapshotPath)) {
      deleteStaleLogs(-1);
      return;
    }
    SnapshotFile file = readSnapshot(snapshotPath);
    generation = file.getGeneration();
    clusterId = file.getCluster();
    Snapshot snapshot = ReplicaCodec.decode(file.getSnapshot());
    List<LogEntry> entries = readLog(snapshot);
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
    if (!Files.exists(path)) {
      throw new StorageException.Corrupted(path, "the log that the snapshot names is missing");
    }
    RecordFormat.Scan scan = RecordFormat.scan(ByteBuffer.wrap(Files.readAllBytes(path)));
    if (scan.corrupted()) {
      throw new StorageException.Corrupted(
          path, "a record before the last one is damaged, at byte " + scan.validBytes());
    }
    FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE);
    log = channel;
    if (scan.validBytes() < channel.size()) {
      channel.truncate(scan.validBytes());
      folder.sync(channel);
    }
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
          logPath(generation), "entry " + entry.index() + " does not follow the one before");
    }
    entries.subList((int) offset, entries.size()).clear();
    entries.add(entry);
  }

  /** Writes a new log, then the snapshot that names it; the rename makes both count. */
  private void replaceSnapshotAndLog(Snapshot snapshot, List<LogEntry> tail) throws IOException {
    long next = generation + 1;
    FileChannel nextLog = folder.create(logPath(next));
    FileChannel oldLog = log;
    log = nextLog;
    List<LogRecord> records = new ArrayList<>();
    records.add(voteRecord());
    tail.forEach(entry -> records.add(entryRecord(entry)));
    append(records);
    SnapshotFile file =
        SnapshotFile.newBuilder()
            .setCluster(clusterId)
            .setGeneration(next)
            .setSnapshot(ReplicaCodec.encode(snapshot))
            .build();
    folder.replaceFile(SNAPSHOT_FILE, file.toByteArray());
    generation = next;
    if (oldLog != null) {
      oldLog.close();
    }
    deleteStaleLogs(generation);
  }

  private void append(List<LogRecord> records) throws IOException {
    if (records.isEmpty()) {
      return;
    }
    FileChannel channel = log;
    if (channel == null) {
      throw new IOException("a blank replica has no log to write to");
    }
    folder.append(channel, LogBatch.newBuilder().addAllRecords(records).build().toByteArray());
  }

  private void deleteStaleLogs(long currentGeneration) throws IOException {
    for (Path file : folder.files()) {
      String name = file.getFileName().toString();
      if (name.startsWith(LOG_PREFIX) && !name.equals(LOG_PREFIX + currentGeneration)) {
        Files.delete(file);
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
