package org.clementinesail.core.ratelimits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The newest record of each target's limit. A limit holds until an answer without one to a request
 * that was sent after the limit was last named: answers on different connections may overtake each
 * other. The class is not thread-safe.
 */
public final class RateLimits {
  private final Map<String, RateLimit> newest = new HashMap<>();

  /**
   * Adds a record if it is newer than the one of the same target.
   *
   * @param next the record
   * @return whether the limit of the target has changed
   */
  public boolean merge(RateLimit next) {
    RateLimit known = newest.get(next.target());
    if (known == null ? !next.limited() : !next.supersedes(known)) {
      return false;
    }
    newest.put(next.target(), next);
    return known == null || !next.sameLimit(known);
  }

  /**
   * Returns the limit of one start of a target, or empty if none is known.
   *
   * @param target identity of the target
   * @param startedAtMillis start of the target
   */
  public Optional<RateLimit> limit(String target, long startedAtMillis) {
    return Optional.ofNullable(newest.get(target))
        .filter(known -> known.limited() && known.startedAtMillis() == startedAtMillis);
  }

  /** Returns all records, also those of limits that have ended. */
  public List<RateLimit> records() {
    return List.copyOf(newest.values());
  }

  /** Returns the targets that have named a limit which has not ended. */
  public Collection<RateLimit> limited() {
    return newest.values().stream().filter(RateLimit::limited).toList();
  }

  /**
   * Removes the records of targets that are gone.
   *
   * @param isKnown whether a target is still known
   */
  public void removeUnknown(Predicate<String> isKnown) {
    newest.keySet().removeIf(isKnown.negate());
  }
}
