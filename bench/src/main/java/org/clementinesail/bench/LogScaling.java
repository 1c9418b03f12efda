package org.clementinesail.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.Output;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.core.state.CallKey;
import org.clementinesail.core.state.Command;
import org.clementinesail.server.storage.ReplicaStore;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.StateCodec;

/** Measures the storage of the replicated log on the local disk. */
final class LogScaling {
  private static final int[] CHANGE_COUNTS = {100, 1_000, 10_000};
  private static final int[] BATCH_SIZES = {1, 10, 100};
  private static final int TIMED_BATCHES = 100;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private LogScaling() {}

  /** Measures in a temporary folder, which is deleted afterwards. */
  @FunctionalInterface
  private interface FolderTask {
    double run(Path folder) throws IOException, StorageException;
  }

  private static double runInTempFolder(FolderTask task) throws IOException, StorageException {
    Path folder = Files.createTempDirectory("slopes");
    try {
      return task.run(folder);
    } finally {
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
  }

  private static ReplicaStore newStore(Path folder) throws StorageException {
    ReplicaStore store = ReplicaStore.open(folder);
    ReplicaConfig config =
        new ReplicaConfig(List.of(new ReplicaId("vm-1", store.diskId())), List.of());
    store.save(List.of(new Output.SaveSnapshot(1, new Snapshot(0, 0, config, new byte[0]))));
    return store;
  }

  private static Output.Save claimEntry(long index) {
    Command command =
        new Command.ClaimCall(
            new CallKey("workshop-" + index % 10, "kit-order-" + index),
            "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
            "c0a8a1b2-0000-4000-8000-" + index,
            "vm-1",
            1_764_800_000_000L + index);
    byte[] bytes = StateCodec.encode(command).toByteArray();
    return new Output.SaveEntries(List.of(new LogEntry(index, 1, new LogEntry.Command(bytes))));
  }

  static ScalingCurve restartTime() throws IOException, StorageException {
    return ScalingCurve.measure(
        "restart",
        "changes in the log",
        "ms to open the data folder",
        changes ->
            runInTempFolder(
                folder -> {
                  writeChanges(folder, changes);
                  long startedAt = System.nanoTime();
                  ReplicaStore.open(folder).close();
                  return (System.nanoTime() - startedAt) / NANOS_PER_MILLI;
                }),
        CHANGE_COUNTS);
  }

  private static void writeChanges(Path folder, int changes) throws StorageException {
    try (ReplicaStore store = newStore(folder)) {
      List<Output.Save> batch = new ArrayList<>();
      for (int i = 1; i <= changes; i++) {
        batch.add(claimEntry(i));
        if (batch.size() == 50 || i == changes) {
          store.save(batch);
          batch.clear();
        }
      }
    }
  }

  static ScalingCurve claimsPerSecond() throws IOException, StorageException {
    return ScalingCurve.measure(
        "claims-per-second",
        "claims per batch",
        "claims saved per second on one replica",
        size ->
            runInTempFolder(
                folder -> {
                  try (ReplicaStore store = newStore(folder)) {
                    long startedAt = System.nanoTime();
                    saveBatches(store, size);
                    double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
                    return TIMED_BATCHES * size / seconds;
                  }
                }),
        BATCH_SIZES);
  }

  static ScalingCurve syncsPerClaim() throws IOException, StorageException {
    return ScalingCurve.measure(
        "syncs-per-claim",
        "claims per batch",
        "syncs per claim",
        size ->
            runInTempFolder(
                folder -> {
                  try (ReplicaStore store = newStore(folder)) {
                    long before = store.syncCount();
                    saveBatches(store, size);
                    return (store.syncCount() - before) / (double) (TIMED_BATCHES * size);
                  }
                }),
        BATCH_SIZES);
  }

  static ScalingCurve bytesPerClaim() throws IOException, StorageException {
    return ScalingCurve.measure(
        "claim-bytes",
        "claims per batch",
        "bytes written per claim",
        size ->
            runInTempFolder(
                folder -> {
                  try (ReplicaStore store = newStore(folder)) {
                    long before = store.bytesWritten();
                    saveBatches(store, size);
                    return (store.bytesWritten() - before) / (double) (TIMED_BATCHES * size);
                  }
                }),
        BATCH_SIZES);
  }

  private static void saveBatches(ReplicaStore store, int size) throws StorageException {
    long index = 1;
    for (int i = 0; i < TIMED_BATCHES; i++) {
      List<Output.Save> batch = new ArrayList<>();
      for (int j = 0; j < size; j++) {
        batch.add(claimEntry(index++));
      }
      store.save(batch);
    }
  }
}
