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
 * Every target that a VM knows of, with the newest statement about each.
 *
 * <p>Statements that reached this VM from the target itself are passed on once to every other VM;
 * bucket digests find what got lost. The class is not thread-safe.
 */
public final class TargetDirectory {
  /** Number of buckets that digests are computed over. */
  public static final int DIGEST_BUCKETS = 32;

  private static final long LEAVING_RETENTION_NANOS = 600_000_000_000L;

  /** What came of a statement. */
  public enum MergeResult {
    /** The statement is older than what is held, or equal. */
    STALE,
    /** Only lease, sequence or load are newer. */
    RENEWED,
    /** The target is new, or something that routing uses has changed. */
    CHANGED
  }

  private final Map<String, TargetRecord> records = new HashMap<>();
  private final Map<String, TargetRecord> outgoing = new HashMap<>();

  /** Returns the newest statement about each target, leaving ones included. */
  public Collection<TargetRecord> records() {
    return List.copyOf(records.values());
  }

  /**
   * Returns the newest statement about a target.
   *
   * @param name name of the target
   */
  public Optional<TargetRecord> find(String name) {
    return Optional.ofNullable(records.get(name));
  }

  /**
   * Takes a statement that a target made to this VM; it is queued for the other VMs.
   *
   * @param fact the statement
   */
  public MergeResult mergeAnnouncement(TargetRecord fact) {
    MergeResult merge = merge(fact);
    if (merge != MergeResult.STALE) {
      outgoing.put(fact.name(), fact);
    }
    return merge;
  }

  /**
   * Takes a statement that came from another VM.
   *
   * @param fact the statement
   */
  public MergeResult merge(TargetRecord fact) {
    TargetRecord held = records.get(fact.name());
    if (held != null && !fact.supersedes(held)) {
      return MergeResult.STALE;
    }
    records.put(fact.name(), fact);
    boolean same =
        held != null
            && held.leaving() == fact.leaving()
            && held.incarnation() == fact.incarnation()
            && held.description().equals(fact.description());
    return same ? MergeResult.RENEWED : MergeResult.CHANGED;
  }

  /**
   * Takes a load report; it counts only for the incarnation that is held.
   *
   * @param name name of the target
   * @param incarnation incarnation that reports
   * @param sequence sequence number of the report
   * @param load the report
   * @return whether the report is news
   */
  public boolean updateLoad(String name, long incarnation, long sequence, TargetLoad load) {
    TargetRecord held = records.get(name);
    if (held == null || held.incarnation() != incarnation || held.sequence() >= sequence) {
      return false;
    }
    TargetRecord next =
        new TargetRecord(
            held.description(), incarnation, sequence, held.leaving(), load, held.leaseDeadline());
    records.put(name, next);
    outgoing.put(name, next);
    return true;
  }

  /** Returns and clears the statements to send to every other VM. */
  public List<TargetRecord> takeOutgoing() {
    List<TargetRecord> taken = List.copyOf(outgoing.values());
    outgoing.clear();
    return taken;
  }

  /**
   * Forgets targets whose lease has lapsed; a leaving one is kept for a while, so that an older
   * statement does not bring it back.
   *
   * @param now present time
   * @return names of the targets that were forgotten
   */
  public List<String> expire(long now) {
    List<String> lapsed = new ArrayList<>();
    Iterator<TargetRecord> it = records.values().iterator();
    while (it.hasNext()) {
      TargetRecord fact = it.next();
      long kept = fact.leaseDeadline() + (fact.leaving() ? LEAVING_RETENTION_NANOS : 0);
      if (now - kept > 0) {
        lapsed.add(fact.name());
        it.remove();
      }
    }
    return lapsed;
  }

  /**
   * Returns a digest for each bucket of names. Digests cover incarnation and leaving but neither
   * load nor lease, so that they differ only where something got lost.
   */
  public long[] digests() {
    long[] digests = new long[DIGEST_BUCKETS];
    for (TargetRecord fact : records.values()) {
      long hash =
          Hashing.murmur3_128()
              .newHasher()
              .putString(fact.name(), StandardCharsets.UTF_8)
              .putLong(fact.incarnation())
              .putBoolean(fact.leaving())
              .hash()
              .asLong();
      digests[bucket(fact.name())] ^= hash;
    }
    return digests;
  }

  /**
   * Returns the statements in the buckets whose digests differ from another VM's.
   *
   * @param others the other VM's digests, {@link #DIGEST_BUCKETS} of them
   */
  public List<TargetRecord> recordsInDifferingBuckets(long[] others) {
    long[] own = digests();
    List<TargetRecord> found = new ArrayList<>();
    for (TargetRecord fact : records.values()) {
      int bucket = bucket(fact.name());
      if (bucket >= others.length || own[bucket] != others[bucket]) {
        found.add(fact);
      }
    }
    return found;
  }

  private static int bucket(String name) {
    int hash = Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, DIGEST_BUCKETS);
  }
}
