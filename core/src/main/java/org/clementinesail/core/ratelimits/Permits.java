package org.clementinesail.core.ratelimits;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Permits to send requests to targets, as the control VM that leads grants them to a VM. */
public final class Permits {
  /**
   * How long permits are valid, in nanoseconds. A longer time loses fewer permits of VMs with few
   * requests; within any span of time, permits from this long before it may be used as well.
   */
  static final long LIFETIME_NANOS = 1_500_000_000L;

  private Permits() {}

  /**
   * Permits for one target that are granted at once.
   *
   * @param id number of the grant, unique for the VM that granted it
   * @param target identity of the target
   * @param startedAtMillis start of the target
   * @param count number of permits, positive
   */
  public record Grant(long id, String target, long startedAtMillis, int count) {}

  /**
   * A grant that is used up or has expired.
   *
   * @param id number of the grant
   * @param unused number of permits that were not used
   */
  public record Closed(long id, int unused) {}

  /** A grant that a VM holds, with the permits that are left. */
  static final class Held {
    final Grant grant;
    final long expiresAt;
    int left;

    Held(Grant grant, long expiresAt) {
      this.grant = grant;
      this.expiresAt = expiresAt;
      this.left = grant.count();
    }
  }

  /** The grants of one target, the earliest first. */
  static final class Stock {
    private final List<Held> held = new ArrayList<>();

    void add(Held grant) {
      held.add(grant);
    }

    boolean isEmpty() {
      return held.isEmpty();
    }

    /** Removes the expired grants and adds them to a list. */
    void expire(long now, List<Closed> closed) {
      held.removeIf(
          grant -> {
            boolean expired = now - grant.expiresAt >= 0;
            if (expired) {
              closed.add(new Closed(grant.grant.id(), grant.left));
            }
            return expired;
          });
    }

    /** Takes a permit, after {@link #expire}; returns false if there is none. */
    boolean take(long startedAtMillis, List<Closed> closed) {
      Optional<Held> earliest = earliest(startedAtMillis);
      earliest.ifPresent(
          grant -> {
            grant.left--;
            if (grant.left == 0) {
              held.remove(grant);
              closed.add(new Closed(grant.grant.id(), 0));
            }
          });
      return earliest.isPresent();
    }

    boolean hasPermit(long startedAtMillis) {
      return earliest(startedAtMillis).isPresent();
    }

    private Optional<Held> earliest(long startedAtMillis) {
      return held.stream()
          .filter(grant -> grant.grant.startedAtMillis() == startedAtMillis)
          .findFirst();
    }
  }
}
