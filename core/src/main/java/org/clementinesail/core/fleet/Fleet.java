package org.clementinesail.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * All targets that a VM knows, each with its newest statement and report.
 *
 * <p>Targets that have left are kept for a time, so that a late statement does not restore them.
 * The class is not thread-safe.
 */
public final class Fleet {
  /** How long a target is kept after its lease has ended; late statements arrive within seconds. */
  private static final long GONE_RETENTION_NANOS = 120_000_000_000L;

  /**
   * Longest usual time between two statements of any targets: a few heartbeats of a small fleet.
   */
  private static final long MAX_CONTACT_GAP_NANOS = 1_500_000_000L;

  /** Reports that are at least this old say nothing about the current load. */
  private static final long REPORT_VALID_NANOS = 5_000_000_000L;

  /**
   * A target with its newest statement and report.
   *
   * @param statement its newest statement
   * @param receivedAt when a VM received the statement from the target, in nanoseconds of this VM's
   *     monotonic clock
   * @param report its newest report with an answer, or null if there is none
   * @param suspectUntil until when the target is suspect, on the same clock; routing avoids a
   *     suspect target
   * @param outageNanosBefore total time before the statement in which no statements of any target
   *     reached this VM, see {@link #recordContact}
   */
  public record Member(
      TargetStatement statement,
      long receivedAt,
      @Nullable EngineReport report,
      long suspectUntil,
      long outageNanosBefore) {

    /** Returns the layers that it holds by the newer of its statement and report; null if none. */
    public @Nullable LayerRange layers() {
      return report != null && report.reachable() && report.reportedAt() - receivedAt > 0
          ? report.layers()
          : statement.layers();
    }

    /**
     * Returns whether the target is suspect, because it gave no report or lost answers recently.
     *
     * @param now current time in nanoseconds of the monotonic clock
     */
    public boolean isSuspect(long now) {
      return now - suspectUntil < 0;
    }

    /**
     * Returns the newest report, or empty if there is none from the last 5 s.
     *
     * @param now current time in nanoseconds of the monotonic clock
     */
    public Optional<EngineReport> freshReport(long now) {
      return Optional.ofNullable(report)
          .filter(r -> r.reachable() && now - r.reportedAt() < REPORT_VALID_NANOS);
    }
  }

  /** All targets, those first that were known first. */
  private final Map<String, Member> members = new LinkedHashMap<>();

  private final TargetNotices notices = new TargetNotices();
  private final long leaseNanos;
  private Set<String> services = Set.of();
  private boolean hasContact;
  private long lastContactAt;
  private long pastOutageNanos;

  /**
   * Creates an empty fleet.
   *
   * @param leaseNanos how long a statement is valid unless it is renewed, in nanoseconds
   */
  public Fleet(long leaseNanos) {
    this.leaseNanos = leaseNanos;
  }

  /**
   * Sets the services of the desired state. Targets of other services are kept, since a desired
   * state may name theirs later, but displace no target of these services.
   *
   * @param names names of the services; if empty, none is preferred
   */
  public void services(Set<String> names) {
    services = Set.copyOf(names);
  }

  private boolean isNamed(String service) {
    return services.isEmpty() || services.contains(service);
  }

  /**
   * Records that statements reach this VM. While none do, the leases of all targets pause: the
   * targets may be healthy and only this VM's sources of statements have failed.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void recordContact(long now) {
    pastOutageNanos += currentOutageNanos(now);
    hasContact = true;
    lastContactAt = now;
  }

  /** Returns the time without contact beyond {@link #MAX_CONTACT_GAP_NANOS}. */
  private long currentOutageNanos(long now) {
    return hasContact ? Math.max(0, now - lastContactAt - MAX_CONTACT_GAP_NANOS) : 0;
  }

  /** Returns the time since a target's statement, not counting outages. */
  private long leaseAge(Member member, long now) {
    return now
        - member.receivedAt()
        - (pastOutageNanos + currentOutageNanos(now) - member.outageNanosBefore());
  }

  /**
   * Records a statement if it supersedes the known one of the same target.
   *
   * @param statement the statement, or {@link TargetStatement#deregistered}
   * @param receivedAt when a VM received it from the target, in nanoseconds of the monotonic clock
   * @return whether it changes anything that routing depends on
   */
  public boolean recordStatement(TargetStatement statement, long receivedAt) {
    Member known = members.get(statement.id());
    if (known != null && isDeregistrationOf(known.statement(), statement)) {
      return recordDeregistration(statement.id(), receivedAt).isPresent()
          && known.statement().phase() != Phase.GONE;
    }
    if (known == null) {
      members.put(
          statement.id(), new Member(statement, receivedAt, null, receivedAt - 1, pastOutageNanos));
      return true;
    }
    if (!replaces(statement, known.statement())) {
      return false;
    }
    boolean restarted = statement.startedAtMillis() != known.statement().startedAtMillis();
    members.put(
        statement.id(),
        new Member(
            statement,
            receivedAt,
            restarted ? null : known.report(),
            restarted ? receivedAt - 1 : known.suspectUntil(),
            pastOutageNanos));
    return !sameForRouting(known.statement(), statement);
  }

  private static boolean isDeregistrationOf(TargetStatement known, TargetStatement statement) {
    boolean sameLifetime = statement.startedAtMillis() == known.startedAtMillis();
    return statement.phase() == Phase.GONE && (statement.startedAtMillis() == 0 || sameLifetime);
  }

  /** Returns whether a statement replaces the known one; one of a named service comes first. */
  private boolean replaces(TargetStatement statement, TargetStatement known) {
    boolean named = isNamed(statement.service());
    boolean deregistration = statement.service().isEmpty() || known.service().isEmpty();
    if (deregistration || named == isNamed(known.service())) {
      return statement.supersedes(known);
    }
    return named;
  }

  private static boolean sameForRouting(TargetStatement a, TargetStatement b) {
    return a.startedAtMillis() == b.startedAtMillis()
        && a.phase() == b.phase()
        && a.address().equals(b.address())
        && Objects.equals(a.layers(), b.layers());
  }

  /**
   * Records that the known lifetime of a target has ended.
   *
   * @param id identity of the target
   * @param now current time in nanoseconds of the monotonic clock
   * @return the statement now recorded, or empty if the target is unknown
   */
  public Optional<TargetStatement> recordDeregistration(String id, long now) {
    Member known = members.get(id);
    if (known == null) {
      return Optional.empty();
    }
    TargetStatement gone = known.statement().withPhase(Phase.GONE);
    members.put(id, new Member(gone, now, known.report(), known.suspectUntil(), pastOutageNanos));
    return Optional.of(gone);
  }

  /**
   * Records a report unless the known one is newer or the target is unknown.
   *
   * @param report the report; one without an answer makes the target suspect
   * @param suspectUntil until when a target that did not answer is suspect, in nanoseconds of the
   *     monotonic clock
   */
  public void recordReport(EngineReport report, long suspectUntil) {
    Member known = members.get(report.id());
    if (known == null || (known.report() != null && isNewer(known.report(), report))) {
      return;
    }
    EngineReport kept = report.reachable() ? report : known.report();
    long until = report.reachable() ? known.suspectUntil() : suspectUntil;
    members.put(
        report.id(),
        new Member(known.statement(), known.receivedAt(), kept, until, known.outageNanosBefore()));
  }

  private static boolean isNewer(EngineReport report, EngineReport other) {
    return report.reportedAt() - other.reportedAt() > 0;
  }

  /**
   * Makes a target suspect, or extends the time for which it is suspect.
   *
   * @param id identity of the target; ignored if it is unknown
   * @param until end of that time, in nanoseconds of the monotonic clock
   */
  public void markSuspect(String id, long until) {
    Member known = members.get(id);
    if (known != null && until - known.suspectUntil() > 0) {
      members.put(
          id,
          new Member(
              known.statement(),
              known.receivedAt(),
              known.report(),
              until,
              known.outageNanosBefore()));
    }
  }

  /**
   * Records that a target has stated in an answer that it is leaving. It takes no new work until
   * its next start, even if a later statement says that it is ready.
   *
   * @param target the target that has answered
   * @return whether that was unknown
   */
  public boolean recordLeaving(TargetStatement target) {
    return notices.recordLeaving(target);
  }

  /**
   * Records that a target has stated in a refusal until when it wants no requests of this VM.
   *
   * @param target the target that has answered
   * @param until end of that time, in nanoseconds of the monotonic clock
   */
  public void recordDeferral(TargetStatement target, long until) {
    notices.recordDeferral(target, until);
  }

  /**
   * Returns a target, or empty if it is unknown or has been removed.
   *
   * @param id identity of the target
   */
  public Optional<Member> member(String id) {
    return Optional.ofNullable(members.get(id));
  }

  /** Returns the number of targets, including those that drain, have left or have no lease. */
  public int size() {
    return members.size();
  }

  /** Returns a copy of all targets, including those that drain, have left or have no lease. */
  public Collection<Member> members() {
    return List.copyOf(members.values());
  }

  /**
   * Returns the targets of a service that take new work. If several targets state the same address,
   * only the one that started last counts.
   *
   * @param service name of the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  public List<Member> ready(String service, long now) {
    List<Member> ready = staying(service, now);
    ready.removeIf(member -> notices.deferredUntil(member.statement(), now).isPresent());
    return ready;
  }

  /**
   * Returns the earliest time at which a target of a service that wants no requests for a time
   * takes them again, in nanoseconds of the monotonic clock; empty if there is no such target.
   *
   * @param service name of the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  public OptionalLong deferredUntil(String service, long now) {
    return staying(service, now).stream()
        .map(member -> notices.deferredUntil(member.statement(), now))
        .filter(OptionalLong::isPresent)
        .mapToLong(until -> until.getAsLong() - now)
        .min()
        .stream()
        .map(nanos -> now + nanos)
        .findFirst();
  }

  /** Returns the targets that take new work, including those that want none for a time. */
  private List<Member> staying(String service, long now) {
    Map<String, Member> byAddress = new HashMap<>();
    for (Member member : members.values()) {
      if (isNamed(member.statement().service()) && leaseAge(member, now) < leaseNanos) {
        byAddress.merge(member.statement().address(), member, Fleet::latest);
      }
    }
    List<Member> staying = new ArrayList<>();
    for (Member member : byAddress.values()) {
      TargetStatement s = member.statement();
      if (s.phase() == Phase.READY && s.service().equals(service) && !notices.isLeaving(s)) {
        staying.add(member);
      }
    }
    return staying;
  }

  /**
   * Returns the target that started last at an address, or empty if there is none.
   *
   * @param address IP address and port
   */
  public Optional<Member> latestAt(String address) {
    return members.values().stream()
        .filter(m -> m.statement().address().equals(address))
        .filter(m -> isNamed(m.statement().service()))
        .reduce(Fleet::latest);
  }

  /**
   * Returns the target that started later. At the same start, the one that was known first: the
   * other states another's start, address included. If no start is known, the newer statement.
   */
  private static Member latest(Member first, Member second) {
    long firstStart = first.statement().startedAtMillis();
    long secondStart = second.statement().startedAtMillis();
    if (firstStart != secondStart) {
      return firstStart > secondStart ? first : second;
    }
    return firstStart != 0 || first.receivedAt() - second.receivedAt() > 0 ? first : second;
  }

  /**
   * Removes targets whose lease ended more than 120 s ago.
   *
   * @param now current time in nanoseconds of the monotonic clock
   * @return the newest statements of the removed targets
   */
  public List<TargetStatement> removeExpired(long now) {
    List<TargetStatement> removed = new ArrayList<>();
    Iterator<Member> all = members.values().iterator();
    while (all.hasNext()) {
      Member member = all.next();
      if (leaseAge(member, now) > leaseNanos + GONE_RETENTION_NANOS) {
        removed.add(member.statement());
        notices.remove(member.statement().id());
        all.remove();
      }
    }
    return removed;
  }
}
