package org.clementinesail.core.fleet;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Applies renewals to a fleet. A renewal names a statement by its digest and a newer sequence. The
 * class is not thread-safe.
 *
 * <pre>{@code
 * StatementRenewals renewals = new StatementRenewals(fleet);
 * if (!renewals.renew(digest, sequence, receivedAt)) { requestFullUpdate(); }
 * }</pre>
 */
public final class StatementRenewals {
  private final Fleet fleet;
  private final Map<Long, String> idsByDigest = new HashMap<>();
  private long indexedAt;

  /**
   * Creates renewals of the targets of a fleet.
   *
   * @param fleet the fleet
   */
  public StatementRenewals(Fleet fleet) {
    this.fleet = fleet;
  }

  /**
   * Renews the lease of the target whose statement has a digest.
   *
   * @param digest {@link TargetStatement#digest} of the statement
   * @param sequence sequence of the renewed statement
   * @param receivedAt when a VM received it from the target, in nanoseconds of the monotonic clock
   * @return whether such a statement is known; if not, nothing has changed
   */
  public boolean renew(long digest, long sequence, long receivedAt) {
    TargetStatement known = find(digest, receivedAt);
    if (known == null) {
      return false;
    }
    fleet.recordStatement(known.withSequence(sequence), receivedAt);
    return true;
  }

  /** Looks a statement up; a missing one is searched for once at a time of receipt. */
  private @Nullable TargetStatement find(long digest, long receivedAt) {
    TargetStatement indexed = indexed(digest);
    if (indexed != null || (receivedAt == indexedAt && !idsByDigest.isEmpty())) {
      return indexed;
    }
    indexedAt = receivedAt;
    idsByDigest.clear();
    fleet.members().forEach(m -> idsByDigest.put(m.statement().digest(), m.statement().id()));
    return indexed(digest);
  }

  private @Nullable TargetStatement indexed(long digest) {
    String id = idsByDigest.get(digest);
    return id == null
        ? null
        : fleet
            .member(id)
            .map(Fleet.Member::statement)
            .filter(statement -> statement.digest() == digest)
            .orElse(null);
  }
}
