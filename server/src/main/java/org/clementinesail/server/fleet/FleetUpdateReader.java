package org.clementinesail.server.fleet;

import com.google.common.base.Ascii;
import java.util.function.Consumer;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.StatementRenewals;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.server.logging.DecisionLog;
import org.clementinesail.wire.CodecException;
import org.clementinesail.wire.FleetCodec;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.RenewalList;
import org.clementinesail.wire.proto.ReportImage;
import org.clementinesail.wire.proto.StatementImage;

/**
 * Decodes the statements and reports of an update one by one. Invalid ones, which an earlier
 * version of a control VM may send, are logged and left out; the others apply.
 */
public final class FleetUpdateReader {
  private static final int MAX_LOGGED_CHARS = 200;

  private final DecisionLog log;

  /** Receives a statement. */
  @FunctionalInterface
  public interface StatementReceiver {
    /**
     * Receives a statement.
     *
     * @param statement the statement
     * @param receivedAt when a control VM received it, in nanoseconds of the monotonic clock
     */
    void receive(TargetStatement statement, long receivedAt);
  }

  /**
   * Creates a reader.
   *
   * @param log receives a line for each invalid statement or report
   */
  public FleetUpdateReader(DecisionLog log) {
    this.log = log;
  }

  /**
   * Decodes an update, the statements first.
   *
   * @param update the update
   * @param now current time in nanoseconds of the monotonic clock
   * @param statements receives the valid statements
   * @param reports receives the valid reports
   */
  public void read(
      FleetUpdate update, long now, StatementReceiver statements, Consumer<EngineReport> reports) {
    for (StatementImage image : update.getStatementsList()) {
      try {
        statements.receive(
            FleetCodec.decode(image), FleetCodec.timeFromAge(image.getAgeMillis(), now));
      } catch (CodecException e) {
        logInvalid(image.getId(), e);
      }
    }
    for (ReportImage image : update.getReportsList()) {
      try {
        reports.accept(FleetCodec.decode(image, now));
      } catch (CodecException e) {
        logInvalid(image.getId(), e);
      }
    }
  }

  /**
   * Applies the renewals of an update, after its statements.
   *
   * @param update the update
   * @param now current time in nanoseconds of the monotonic clock
   * @param renewals the targets that the receiver knows
   * @return whether all are of statements that the receiver knows
   */
  public boolean readRenewals(FleetUpdate update, long now, StatementRenewals renewals) {
    RenewalList list = update.getRenewals();
    int count = Math.min(list.getDigestsCount(), list.getSequencesCount());
    boolean allKnown = true;
    for (int i = 0; i < count; i++) {
      long sequence = list.getSequences(i);
      if (sequence >= 0) {
        allKnown &= renewals.renew(list.getDigests(i), sequence, now);
      } else {
        logInvalid(
            Long.toHexString(list.getDigests(i)),
            new CodecException("a renewal of a target has a sequence out of range"));
      }
    }
    return allKnown;
  }

  /**
   * Returns whether an update shows that statements of targets reach the sender.
   *
   * @param update the update
   */
  public static boolean hasStatements(FleetUpdate update) {
    return update.getStatementsCount() > 0 || update.getRenewals().getDigestsCount() > 0;
  }

  private void logInvalid(String id, CodecException e) {
    log.write(
        "invalid news of a target",
        "target",
        Ascii.truncate(id, MAX_LOGGED_CHARS, "..."),
        "reason",
        String.valueOf(e.getMessage()));
  }
}
