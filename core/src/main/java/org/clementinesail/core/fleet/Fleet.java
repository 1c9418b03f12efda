package org.clementinesail.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Every target that a VM knows of, with its newest statement and report.
 *
 * <p>Leaving targets are remembered, so that a late statement does not bring one back. The class is
 * not thread-safe.
 */
public final class Fleet {
  /** How long a target that said goodbye is remembered; late statements come within seconds. */
  private static final long GONE_RETENTION_NANOS = 120_000_000_000L;

  /** Longest usual time between statements of any target; some heartbeats of a small fleet. */
  private static final long MAX_CONTACT_GAP_NANOS = 1_500_000_000L;

  /** A report older than this says nothing of the present load. */
  private static final long REPORT_VALID_NANOS = 5_000_000_000L;

  /**
   * A target as this VM knows it.
   *
   * @param statement its newest statement
   * @param receivedAt when the statement reached a VM, in nanoseconds of this VM's monotonic clock
   * @param report its newest report, or null
   * @param suspectUntil until when it is left out where another will do
   * @param outageNanosBefore how long no control VM had been heard, in all, before the statement
   */
  public record Member(
      TargetStatement statement,
      long receivedAt,
      @Nullable EngineReport report,
      long suspectUntil,
      long outageNanosBefore) {

    /** Returns the layers that it holds by its newest statement or report, if any. */
    public @Nullable LayerRange layers() {
      return report != null && report.reachable() && report.reportedAt() - receivedAt > 0
          ? report.layers()
          : statement.layers();
    }

    /**
     * Returns whether it is set aside.
     *
     * @param now present time in nanoseconds
     */
    public boolean isSuspect(long now) {
      return now - suspectUntil < 0;
    }

    /**
     * Returns the newest report unless it is too old to count.
     *
     * @param now present time in nanoseconds
     */
    public Optional<EngineReport> freshReport(long now) {
      return Optional.ofNullable(report)
          .filter(r -> r.reachable() && now - r.reportedAt() < REPORT_VALID_NANOS);
    }
  }

  private final Map<String, Member> members = new HashMap<>();
  private final long leaseNanos;
  private boolean hasContact;
  private long lastContactAt;
  private long pastOutageNanos;

  /**
   * Creates an empty fleet.
   *
   * @param leaseNanos how long a statement holds unless renewed
   */
  public Fleet(long leaseNanos) {
    this.leaseNanos = leaseNanos;
  }

  /**
   * Notes that statements are reaching this VM. While none do, no lease runs: the targets may be
   * well, and only those who hear them are not.
   *
   * @param now present time in nanoseconds
   */
  public void recordContact(long now) {
    pastOutageNanos += currentOutageNanos(now);
    hasContact = true;
    lastContactAt = now;
  }

  /** Returns the time without contact beyond what is usual. */
  private long currentOutageNanos(long now) {
    return hasContact ? Math.max(0, now - lastContactAt - MAX_CONTACT_GAP_NANOS) : 0;
  }

  private long leaseAge(Member member, long now) {
    return now
        - member.receivedAt()
        - (pastOutageNanos + currentOutageNanos(now) - member.outageNanosBefore());
  }

  /**
   * Takes a statement.
   *
   * @param statement the statement
   * @param receivedAt when it reached a VM
   * @return whether it says something new for routing
   */
  public boolean recordStatement(TargetStatement statement, long receivedAt) {
    Member held = members.get(statement.id());
    if (statement.phase() == Phase.GONE && statement.startedAtMillis() == 0 && held != null) {
      return recordDeregistration(statement.id(), receivedAt).isPresent()
          && held.statement().phase() != Phase.GONE;
    }
    if (held == null) {
      members.put(
          statement.id(), new Member(statement, receivedAt, null, receivedAt - 1, pastOutageNanos));
      return true;
    }
    if (!statement.supersedes(held.statement())) {
      return false;
    }
    boolean restarted = statement.startedAtMillis() != held.statement().startedAtMillis();
    members.put(
        statement.id(),
        new Member(
            statement,
            receivedAt,
            restarted ? null : held.report(),
            restarted ? receivedAt - 1 : held.suspectUntil(),
            pastOutageNanos));
    return !sameForRouting(held.statement(), statement);
  }

  private static boolean sameForRouting(TargetStatement a, TargetStatement b) {
    return a.startedAtMillis() == b.startedAtMillis()
        && a.phase() == b.phase()
        && a.address().equals(b.address())
        && Objects.equals(a.layers(), b.layers());
  }

  /**
   * Takes a goodbye.
   *
   * @param id identity of the target
   * @param now present time in nanoseconds
   * @return the statement now held, or empty if the target is not known
   */
  public Optional<TargetStatement> recordDeregistration(String id, long now) {
    Member held = members.get(id);
    if (held == null) {
      return Optional.empty();
    }
    TargetStatement gone = held.statement().withPhase(Phase.GONE);
    members.put(id, new Member(gone, now, held.report(), held.suspectUntil(), pastOutageNanos));
    return Optional.of(gone);
  }

  /**
   * Takes a report; a target that did not answer is set aside.
   *
   * @param report the report
   * @param suspectUntil until when a silent target is set aside
   */
  public void recordReport(EngineReport report, long suspectUntil) {
    Member held = members.get(report.id());
    if (held == null || (held.report() != null && isNewer(held.report(), report))) {
      return;
    }
    EngineReport kept = report.reachable() ? report : held.report();
    long until = report.reachable() ? held.suspectUntil() : suspectUntil;
    members.put(
        report.id(),
        new Member(held.statement(), held.receivedAt(), kept, until, held.outageNanosBefore()));
  }

  private static boolean isNewer(EngineReport held, EngineReport other) {
    return held.reportedAt() - other.reportedAt() > 0;
  }

  /**
   * Sets a target aside.
   *
   * @param id identity of the target
   * @param until until when
   */
  public void markSuspect(String id, long until) {
    Member held = members.get(id);
    if (held != null && until - held.suspectUntil() > 0) {
      members.put(
          id,
          new Member(
              held.statement(), held.receivedAt(), held.report(), until, held.outageNanosBefore()));
    }
  }

  /**
   * Returns a target.
   *
   * @param id identity of the target
   */
  public Optional<Member> member(String id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Returns all targets, leaving ones included. */
  public Collection<Member> members() {
    return List.copyOf(members.values());
  }

  /**
   * Returns the targets of a service that take new work; at an address that two claim, the one that
   * started last.
   *
   * @param service name of the service
   * @param now present time in nanoseconds
   */
  public List<Member> ready(String service, long now) {
    Map<String, Member> byAddress = new HashMap<>();
    for (Member member : members.values()) {
      if (leaseAge(member, now) < leaseNanos) {
        byAddress.merge(member.statement().address(), member, Fleet::latest);
      }
    }
    List<Member> ready = new ArrayList<>();
    for (Member member : byAddress.values()) {
      TargetStatement s = member.statement();
      if (s.phase() == Phase.READY && s.service().equals(service)) {
        ready.add(member);
      }
    }
    return ready;
  }

  /**
   * Returns the target at an address that started last.
   *
   * @param address IP number and port
   */
  public Optional<Member> latestAt(String address) {
    return members.values().stream()
        .filter(m -> m.statement().address().equals(address))
        .reduce(Fleet::latest);
  }

  private static Member latest(Member a, Member b) {
    if (a.statement().startedAtMillis() != b.statement().startedAtMillis()) {
      return a.statement().startedAtMillis() > b.statement().startedAtMillis() ? a : b;
    }
    return a.receivedAt() - b.receivedAt() > 0 ? a : b;
  }

  /**
   * Forgets targets that have not been heard of for long.
   *
   * @param now present time in nanoseconds
   * @return the targets that were forgotten
   */
  public List<TargetStatement> removeExpired(long now) {
    List<TargetStatement> removed = new ArrayList<>();
    Iterator<Member> all = members.values().iterator();
    while (all.hasNext()) {
      Member member = all.next();
      if (leaseAge(member, now) > leaseNanos + GONE_RETENTION_NANOS) {
        removed.add(member.statement());
        all.remove();
      }
    }
    return removed;
  }
}
