package org.clementinesail.core.targets;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The targets known to a VM, with the newest record of each.
 *
 * <p>Records that a target sent to this VM directly are forwarded once to every other VM. Records
 * lost on the way are found by comparing digests of buckets of records. The class is not
 * thread-safe.
 */
public final class TargetDirectory {
  /** Number of buckets into which target names are hashed; each has one digest. */
  public static final int DIGEST_BUCKETS = 32;

  private static final long LEAVING_RETENTION_NANOS = 600_000_000_000L;

  /** The effect of merging a record. */
  public enum MergeResult {
    /** The record is not newer than the current one and is ignored. */
    STALE,
    /** Only the lease, the sequence number or the load changed. */
    RENEWED,
    /** The target is new, or its incarnation, description or leaving state changed. */
    CHANGED
  }

  private final Map<String, TargetRecord> records = new HashMap<>();
  private final Map<String, TargetRecord> outgoing = new HashMap<>();

  /** Returns the newest record of each target, including targets that are leaving. */
  public Collection<TargetRecord> records() {
    return List.copyOf(records.values());
  }

  /**
   * Returns the newest record of a target, or empty if the target is unknown.
   *
   * @param name name of the target
   */
  public Optional<TargetRecord> find(String name) {
    return Optional.ofNullable(records.get(name));
  }

  /**
   * Merges a record that a target sent to this VM, and queues it for the other VMs if it is newer.
   *
   * @param record record to merge
   */
  public MergeResult mergeAnnouncement(TargetRecord record) {
    MergeResult result = merge(record);
    if (result != MergeResult.STALE) {
      outgoing.put(record.name(), record);
    }
    return result;
  }

  /**
   * Merges a record that another VM forwarded; it is not forwarded again.
   *
   * @param record record to merge
   */
  public MergeResult merge(TargetRecord record) {
    TargetRecord current = records.get(record.name());
    if (current != null && !record.supersedes(current)) {
      return MergeResult.STALE;
    }
    records.put(record.name(), record);
    boolean unchanged =
        current != null
            && current.leaving() == record.leaving()
            && current.incarnation() == record.incarnation()
            && current.description().equals(record.description());
    return unchanged ? MergeResult.RENEWED : MergeResult.CHANGED;
  }

  /**
   * Updates the load of a target and queues the record for the other VMs. Reports of another
   * incarnation and reports that are not newer are ignored.
   *
   * @param name name of the target
   * @param incarnation incarnation that sent the report
   * @param sequence sequence number of the report
   * @param load load that the target reports
   * @return whether the load was updated
   */
  public boolean updateLoad(String name, long incarnation, long sequence, TargetLoad load) {
    TargetRecord current = records.get(name);
    if (current == null || current.incarnation() != incarnation || current.sequence() >= sequence) {
      return false;
    }
    TargetRecord updated =
        new TargetRecord(
            current.description(),
            incarnation,
            sequence,
            current.leaving(),
            load,
            current.leaseDeadline());
    records.put(name, updated);
    outgoing.put(name, updated);
    return true;
  }

  /** Removes and returns the queued records, to be sent to every other VM. */
  public List<TargetRecord> takeOutgoing() {
    List<TargetRecord> queued = List.copyOf(outgoing.values());
    outgoing.clear();
    return queued;
  }

  /**
   * Removes targets whose lease has expired. Records of leaving targets are kept for another 600 s,
   * so that a delayed older record does not add the target again.
   *
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @return names of the removed targets
   */
  public List<String> expire(long now) {
    List<String> expired = new ArrayList<>();
    Iterator<TargetRecord> iterator = records.values().iterator();
    while (iterator.hasNext()) {
      TargetRecord record = iterator.next();
      long expiresAt = record.leaseDeadline() + (record.leaving() ? LEAVING_RETENTION_NANOS : 0);
      if (now - expiresAt > 0) {
        expired.add(record.name());
        iterator.remove();
      }
    }
    return expired;
  }

  /**
   * Returns a digest of each bucket. Digests include the incarnation and the leaving state, but not
   * the load or the lease, so that digests of two VMs differ only if a record got lost.
   */
  public long[] digests() {
    long[] digests = new long[DIGEST_BUCKETS];
    for (TargetRecord record : records.values()) {
      long hash =
          Hashing.murmur3_128()
              .newHasher()
              .putString(record.name(), StandardCharsets.UTF_8)
              .putLong(record.incarnation())
              .putBoolean(record.leaving())
              .hash()
              .asLong();
      digests[bucket(record.name())] ^= hash;
    }
    return digests;
  }

  /**
   * Returns the records in all buckets whose digest differs from the other VM's.
   *
   * @param others digests of the other VM, one for each of {@link #DIGEST_BUCKETS}; a missing
   *     digest counts as different
   */
  public List<TargetRecord> recordsInDifferingBuckets(long[] others) {
    long[] own = digests();
    List<TargetRecord> differing = new ArrayList<>();
    for (TargetRecord record : records.values()) {
      int bucket = bucket(record.name());
      if (bucket >= others.length || own[bucket] != others[bucket]) {
        differing.add(record);
      }
    }
    return differing;
  }

  private static int bucket(String name) {
    int hash = Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, DIGEST_BUCKETS);
  }
}
