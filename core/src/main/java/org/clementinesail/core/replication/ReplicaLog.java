package org.clementinesail.core.replication;

import java.util.ArrayList;
import java.util.List;

/** The in-memory log: a snapshot and the entries that follow it. */
final class ReplicaLog {
  private Snapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private long firstKept;
  private long termBeforeFirst;

  ReplicaLog(Snapshot snapshot, List<LogEntry> tail) {
    this.snapshot = snapshot;
    this.firstKept = snapshot.index() + 1;
    this.termBeforeFirst = snapshot.term();
    entries.addAll(tail);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long lastIndex() {
    return firstKept + entries.size() - 1;
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the term of an entry, or -1 where the entry is not held any more or not yet. */
  long termAt(long index) {
    if (index == firstKept - 1) {
      return termBeforeFirst;
    }
    if (index == snapshot.index()) {
      return snapshot.term();
    }
    if (index < firstKept || index > lastIndex()) {
      return -1;
    }
    return entries.get((int) (index - firstKept)).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - firstKept));
  }

  /** Returns whether entries from this index on can be sent without a snapshot. */
  boolean canSendFrom(long index) {
    return index >= firstKept;
  }

  List<LogEntry> from(long index, int most) {
    int start = (int) (index - firstKept);
    if (start >= entries.size()) {
      return List.of();
    }
    return List.copyOf(entries.subList(start, start + Math.min(entries.size() - start, most)));
  }

  void append(LogEntry entry) {
    entries.add(entry);
  }

  /** Drops the entries from an index on. */
  void truncateFrom(long index) {
    int start = (int) (index - firstKept);
    entries.subList(start, entries.size()).clear();
  }

  /** Replaces everything by a snapshot. */
  void reset(Snapshot next) {
    snapshot = next;
    entries.clear();
    firstKept = next.index() + 1;
    termBeforeFirst = next.term();
  }

  /** Takes a newer snapshot of the same history, keeping some entries for slow followers. */
  void compact(Snapshot next, int keep) {
    snapshot = next;
    long newFirst = Math.max(firstKept, next.index() + 1 - keep);
    termBeforeFirst = termAt(newFirst - 1);
    entries.subList(0, (int) (newFirst - firstKept)).clear();
    firstKept = newFirst;
  }

  /** Returns the configuration in force: the last one appended, else the snapshot's. */
  ReplicaConfig config() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).payload() instanceof LogEntry.Reconfigure change) {
        return change.config();
      }
    }
    return snapshot.config();
  }

  /** Returns the index of the last configuration entry, or the snapshot's index. */
  long configIndex() {
    for (int i = entries.size() - 1; i >= 0; i--) {
      if (entries.get(i).payload() instanceof LogEntry.Reconfigure) {
        return entries.get(i).index();
      }
    }
    return snapshot.index();
  }

  /** Returns the configuration in force after an index. */
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
