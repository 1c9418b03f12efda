package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;

/** The in-memory log: the latest snapshot, the entries after it and some before it. */
final class ReplicaLog {
  private Snapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private long firstIndex;
  private long termBeforeFirstIndex;

  ReplicaLog(Snapshot snapshot, List<LogEntry> entriesAfterSnapshot) {
    this.snapshot = snapshot;
    this.firstIndex = snapshot.index() + 1;
    this.termBeforeFirstIndex = snapshot.term();
    entries.addAll(entriesAfterSnapshot);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long lastIndex() {
    return firstIndex + entries.size() - 1;
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the term of an entry, or -1 if the entry was compacted or does not exist yet. */
  long termAt(long index) {
    if (index == firstIndex - 1) {
      return termBeforeFirstIndex;
    }
    if (index == snapshot.index()) {
      return snapshot.term();
    }
    if (index < firstIndex || index > lastIndex()) {
      return -1;
    }
    return entries.get((int) (index - firstIndex)).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - firstIndex));
  }

  /** Returns whether the entries from this index on are in the log, so no snapshot is needed. */
  boolean canSendFrom(long index) {
    return index >= firstIndex;
  }

  /** Returns the entries from an index on. */
  List<LogEntry> entriesFrom(long index) {
    int start = (int) (index - firstIndex);
    return start >= entries.size()
        ? List.of()
        : List.copyOf(entries.subList(start, entries.size()));
  }

  /** Returns the entries from an index on up to both limits, but at least one if there is one. */
  List<LogEntry> entriesFrom(long index, int maxEntries, long maxBytes) {
    int start = (int) (index - firstIndex);
    if (start >= entries.size()) {
      return List.of();
    }
    int end = start + 1;
    int limit = start + Math.min(entries.size() - start, maxEntries);
    long bytes = entries.get(start).payloadBytes();
    while (end < limit && bytes + entries.get(end).payloadBytes() <= maxBytes) {
      bytes += entries.get(end).payloadBytes();
      end++;
    }
    return List.copyOf(entries.subList(start, end));
  }

  void append(LogEntry entry) {
    entries.add(entry);
  }

  /** Removes the entry at an index and all later ones. */
  void truncateFrom(long index) {
    int start = (int) (index - firstIndex);
    entries.subList(start, entries.size()).clear();
  }

  /** Replaces snapshot and entries by a snapshot. */
  void reset(Snapshot next) {
    snapshot = next;
    entries.clear();
    firstIndex = next.index() + 1;
    termBeforeFirstIndex = next.term();
  }

  /**
   * Sets a newer snapshot of this log and keeps the last entries before it, up to both limits, for
   * slow followers.
   */
  void compact(Snapshot next, int keptEntries, long keptBytes) {
    snapshot = next;
    long newFirst = next.index() + 1;
    long oldest = Math.max(firstIndex, newFirst - keptEntries);
    long bytes = 0;
    while (newFirst > oldest && bytes + entry(newFirst - 1).payloadBytes() <= keptBytes) {
      newFirst--;
      bytes += entry(newFirst).payloadBytes();
    }
    termBeforeFirstIndex = termAt(newFirst - 1);
    entries.subList(0, (int) (newFirst - firstIndex)).clear();
    firstIndex = newFirst;
  }

  /** Returns the last configuration appended, or else the snapshot's. */
  ReplicaConfig config() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).payload() instanceof LogEntry.Reconfigure change) {
        return change.config();
      }
    }
    return snapshot.config();
  }

  /** Returns the index of the last configuration entry, or else the snapshot's index. */
  long configIndex() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).payload() instanceof LogEntry.Reconfigure) {
        return entries.get(i).index();
      }
    }
    return snapshot.index();
  }

  /**
   * Returns the configuration before the one that takes effect at an index; the same at the start.
   */
  ReplicaConfig configBefore(long configIndex) {
    return configIndex <= snapshot.index() ? config() : configAt(configIndex - 1);
  }

  /** Returns the configuration in effect after the entry at an index. */
  ReplicaConfig configAt(long index) {
    for (int i = entries.size() - 1; i >= 0; i--) {
      LogEntry entry = entries.get(i);
      if (entry.index() <= index && entry.payload() instanceof LogEntry.Reconfigure change) {
        return change.config();
      }
    }
    return snapshot.config();
  }
}
