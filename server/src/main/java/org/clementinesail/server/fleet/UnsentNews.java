package org.clementinesail.server.fleet;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.wire.FleetCodec;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.RenewalList;
import org.jspecify.annotations.Nullable;

/**
 * Statements and reports that a control VM has received since its last update to subscribers.
 * Confined to the event loop.
 */
final class UnsentNews {
  /** Longest time between two updates with renewals that state the numbers and control VMs. */
  private static final long HEADER_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Map<Lifetime, TargetStatement> statements = new LinkedHashMap<>();
  private final Map<String, EngineReport> reports = new LinkedHashMap<>();

  /** Those of the statements that are no renewals. */
  private final Set<Lifetime> changed = new HashSet<>();

  private FleetUpdate lastHeader = FleetUpdate.getDefaultInstance();
  private long headerSentAt;

  /**
   * What a statement of another writer may differ in from those of the target with its id. Both are
   * sent, as the subscribers know which services the desired state names.
   */
  private record Lifetime(String id, String service, String address, long startedAtMillis) {
    static Lifetime of(TargetStatement statement) {
      return new Lifetime(
          statement.id(), statement.service(), statement.address(), statement.startedAtMillis());
    }
  }

  /**
   * Adds a statement. It is a renewal if it differs from the known one in the sequence only.
   *
   * @param statement the statement
   * @param known the statement of the target that was known before, or null if there was none
   */
  void add(TargetStatement statement, @Nullable TargetStatement known) {
    Lifetime lifetime = Lifetime.of(statement);
    statements.merge(lifetime, statement, (sent, next) -> next.supersedes(sent) ? next : sent);
    boolean renewal =
        known != null && statement.phase() != Phase.GONE && statement.digest() == known.digest();
    if (!renewal) {
      changed.add(lifetime);
    }
  }

  /** Adds a report; it replaces the last one of the same engine. */
  void add(EngineReport report) {
    reports.put(report.id(), report);
  }

  boolean isEmpty() {
    return statements.isEmpty() && reports.isEmpty();
  }

  void clear() {
    statements.clear();
    reports.clear();
    changed.clear();
  }

  /**
   * Returns an update for subscribers that accept no renewals.
   *
   * @param header update with all but the news
   * @param now current time in nanoseconds of the monotonic clock
   */
  FleetUpdate statements(FleetUpdate header, long now) {
    FleetUpdate.Builder update = header.toBuilder();
    statements.values().forEach(s -> update.addStatements(FleetCodec.encode(s, now, now)));
    return withReports(update, now);
  }

  /**
   * Returns an update for subscribers that accept renewals. The header is left out if it is the one
   * of the last such update and less than a second old.
   *
   * @param header update with all but the news
   * @param now current time in nanoseconds of the monotonic clock
   */
  FleetUpdate renewals(FleetUpdate header, long now) {
    FleetUpdate.Builder update = FleetUpdate.newBuilder();
    if (!header.equals(lastHeader) || now - headerSentAt >= HEADER_INTERVAL_NANOS) {
      update.mergeFrom(header);
      lastHeader = header;
      headerSentAt = now;
    }
    RenewalList.Builder renewals = RenewalList.newBuilder();
    statements.forEach(
        (lifetime, statement) -> {
          if (changed.contains(lifetime)) {
            update.addStatements(FleetCodec.encode(statement, now, now));
          } else {
            renewals.addDigests(statement.digest()).addSequences(statement.sequence());
          }
        });
    if (renewals.getDigestsCount() > 0) {
      update.setRenewals(renewals);
    }
    return withReports(update, now);
  }

  private FleetUpdate withReports(FleetUpdate.Builder update, long now) {
    reports.values().forEach(report -> update.addReports(FleetCodec.encode(report, now)));
    return update.build();
  }
}
