package org.clementinesail.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sets failing targets aside for a while, never more than a bounded share of them.
 *
 * <p>Each further failure doubles the time; after it the target is tried again. The class is not
 * thread-safe.
 */
public final class OutlierGuard {
  private static final long FIRST_BAN_NANOS = 1_000_000_000L;
  private static final long LONGEST_BAN_NANOS = 30_000_000_000L;
  private static final double MAX_SHARE = 0.34;

  private static final class Ban {
    long nanos;
    long until;
  }

  private final Map<String, Ban> bans = new HashMap<>();

  /**
   * Notes that a target failed.
   *
   * @param target name of the target
   * @param now present time in nanoseconds
   */
  public void failed(String target, long now) {
    Ban ban = bans.computeIfAbsent(target, key -> new Ban());
    if (now - ban.until < 0) {
      return;
    }
    ban.nanos = ban.nanos == 0 ? FIRST_BAN_NANOS : Math.min(LONGEST_BAN_NANOS, 2 * ban.nanos);
    ban.until = now + ban.nanos;
  }

  /**
   * Notes that a target did its work.
   *
   * @param target name of the target
   * @param now present time in nanoseconds
   */
  public void succeeded(String target, long now) {
    Ban ban = bans.get(target);
    if (ban != null && now - ban.until >= 0) {
      bans.remove(target);
    }
  }

  /**
   * Forgets a target, as when it comes back in a new incarnation.
   *
   * @param target name of the target
   */
  public void forget(String target) {
    bans.remove(target);
  }

  /**
   * Returns the targets that are set aside.
   *
   * @param targets number of targets there are
   * @param now present time in nanoseconds
   */
  public Set<String> setAside(int targets, long now) {
    if (bans.isEmpty()) {
      return Set.of();
    }
    int most = (int) Math.ceil(targets * MAX_SHARE);
    Set<String> aside = new HashSet<>();
    for (Map.Entry<String, Ban> entry : bans.entrySet()) {
      if (now - entry.getValue().until < 0 && aside.size() < most) {
        aside.add(entry.getKey());
      }
    }
    return aside;
  }
}
