package org.clementinesail.wire;

import java.util.Optional;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.StatementCheck;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.wire.proto.ReportImage;
import org.clementinesail.wire.proto.StatementImage;
import org.jspecify.annotations.Nullable;

/**
 * Converts statements of targets and reports of engines to and from protobuf. Points in time are
 * sent as ages, since VMs do not share a clock; the network delay makes the decoded ages too low by
 * less than a second.
 */
public final class FleetCodec {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private FleetCodec() {}

  /**
   * Encodes a statement.
   *
   * @param statement latest statement of a target
   * @param receivedAt monotonic time at which a control VM received it, in nanoseconds
   * @param now current monotonic time in nanoseconds
   */
  public static StatementImage encode(TargetStatement statement, long receivedAt, long now) {
    StatementImage.Builder out =
        StatementImage.newBuilder()
            .setId(statement.id())
            .setService(statement.service())
            .setAddress(statement.address())
            .setDataCentre(statement.dataCentre())
            .setSlots(statement.slots())
            .setPhase(encode(statement.phase()))
            .setAccelerator(statement.accelerator())
            .setStartedAtMillis(statement.startedAtMillis())
            .setSequence(statement.sequence())
            .setAgeMillis(ageMillis(receivedAt, now));
    LayerRange layers = statement.layers();
    if (layers != null) {
      out.setLayerFrom(layers.from()).setLayerTo(layers.to());
    }
    return out.build();
  }

  /**
   * Decodes a statement without its age, which {@link #timeFromAge} converts.
   *
   * @param in the encoded statement
   * @throws CodecException if this version does not know its phase, or if a field is invalid; an
   *     earlier version may have accepted it from a target
   */
  public static TargetStatement decode(StatementImage in) {
    TargetStatement statement =
        new TargetStatement(
            in.getId(),
            in.getService(),
            in.getAddress(),
            in.getDataCentre(),
            in.getSlots(),
            phase(in),
            in.getAccelerator(),
            layers(in.getLayerFrom(), in.getLayerTo()),
            in.getStartedAtMillis(),
            in.getSequence());
    requireNonNegative(in.getAgeMillis());
    Optional<String> problem = StatementCheck.problem(statement);
    if (problem.isPresent()) {
      throw new CodecException("invalid statement of a target: " + problem.get());
    }
    return statement;
  }

  /**
   * Encodes a report.
   *
   * @param report latest report of an engine
   * @param now current monotonic time in nanoseconds
   */
  public static ReportImage encode(EngineReport report, long now) {
    ReportImage.Builder out =
        ReportImage.newBuilder()
            .setId(report.id())
            .setReachable(report.reachable())
            .setRunning(report.running())
            .setWaiting(report.waiting())
            .setKvUsed(report.kvUsed())
            .setKvTotal(report.kvTotal())
            .setPace(report.slowdown())
            .setBusy(report.busy())
            .setOrderSequence(report.orderSequence())
            .setAgeMillis(ageMillis(report.reportedAt(), now));
    LayerRange layers = report.layers();
    if (layers != null) {
      out.setLayerFrom(layers.from()).setLayerTo(layers.to());
    }
    return out.build();
  }

  /**
   * Decodes a report.
   *
   * @param in the encoded report
   * @param now current monotonic time in nanoseconds
   * @throws CodecException if a field is invalid
   */
  public static EngineReport decode(ReportImage in, long now) {
    requireNonNegative(in.getRunning());
    requireNonNegative(in.getWaiting());
    requireNonNegative(in.getKvUsed());
    requireNonNegative(in.getKvTotal());
    requireNonNegative(in.getOrderSequence());
    requireNonNegative(in.getAgeMillis());
    if (!Double.isFinite(in.getPace())) {
      throw new CodecException("a report of an engine has no finite pace");
    }
    return new EngineReport(
        in.getId(),
        in.getReachable(),
        in.getRunning(),
        in.getWaiting(),
        in.getKvUsed(),
        in.getKvTotal(),
        in.getPace(),
        in.getBusy(),
        in.getOrderSequence(),
        layers(in.getLayerFrom(), in.getLayerTo()),
        timeFromAge(in.getAgeMillis(), now));
  }

  /**
   * Converts an age to a monotonic time in nanoseconds.
   *
   * @param ageMillis age in milliseconds
   * @param now current monotonic time in nanoseconds
   */
  public static long timeFromAge(int ageMillis, long now) {
    return now - ageMillis * NANOS_PER_MILLI;
  }

  private static StatementImage.Phase encode(Phase phase) {
    return switch (phase) {
      case READY -> StatementImage.Phase.READY;
      case DRAINING -> StatementImage.Phase.DRAINING;
      case GONE -> StatementImage.Phase.GONE;
    };
  }

  private static Phase phase(StatementImage in) {
    return switch (in.getPhase()) {
      case READY -> Phase.READY;
      case DRAINING -> Phase.DRAINING;
      case GONE -> Phase.GONE;
      case UNRECOGNIZED -> throw new CodecException("a statement of a target has an unknown phase");
    };
  }

  /** Refuses numbers above the range of the signed type that they are held in. */
  private static void requireNonNegative(long number) {
    if (number < 0) {
      throw new CodecException("a number of a target is out of range");
    }
  }

  /** Returns the range; null if it is empty or reversed, as for a target without layers. */
  private static @Nullable LayerRange layers(int from, int to) {
    requireNonNegative(from);
    requireNonNegative(to);
    return to > from ? new LayerRange(from, to) : null;
  }

  static int ageMillis(long time, long now) {
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, (now - time) / NANOS_PER_MILLI));
  }
}
