package org.clementinesail.wire;

import java.util.Collection;
import java.util.List;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;
import org.clementinesail.wire.proto.TargetFactImage;
import org.clementinesail.wire.proto.TargetFacts;

/**
 * Converts records of targets to and from protobuf. Points in time are sent as an age or as the
 * time that is left, since VMs do not share a clock; the network delay extends deadlines and makes
 * loads look newer, by less than a second.
 */
public final class TargetCodec {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private TargetCodec() {}

  /**
   * Encodes records.
   *
   * @param records records of any number of targets
   * @param now current monotonic time in nanoseconds
   */
  public static TargetFacts encode(Collection<TargetRecord> records, long now) {
    TargetFacts.Builder out = TargetFacts.newBuilder();
    for (TargetRecord record : records) {
      out.addFacts(encode(record, now));
    }
    return out.build();
  }

  /**
   * Decodes records. An engine's record with an empty or reversed layer range is skipped.
   *
   * @param in the encoded records
   * @param now current monotonic time in nanoseconds
   * @throws IllegalArgumentException if a layer range starts below 0
   */
  public static List<TargetRecord> decode(TargetFacts in, long now) {
    return in.getFactsList().stream()
        .filter(TargetCodec::hasValidLayers)
        .map(record -> decode(record, now))
        .toList();
  }

  private static boolean hasValidLayers(TargetFactImage in) {
    return !in.getEngine() || in.getLayerFrom() < in.getLayerTo();
  }

  private static TargetFactImage encode(TargetRecord record, long now) {
    TargetDescription description = record.description();
    TargetFactImage.Builder out =
        TargetFactImage.newBuilder()
            .setName(description.name())
            .setAddress(description.address())
            .setDataCentre(description.dataCentre())
            .setServes(description.serves())
            .setIncarnation(record.incarnation())
            .setSequence(record.sequence())
            .setLeaving(record.leaving())
            .setRunning(record.load().running())
            .setQueued(record.load().queued())
            .setKvUsed(record.load().kvUsed())
            .setLoadAgeMillis(toMillis(now - record.load().reportedAt()))
            .setLeaseLeftMillis(toMillis(record.leaseDeadline() - now));
    TargetDescription.Engine engine = description.engine();
    if (engine != null) {
      out.setEngine(true)
          .setLayerFrom(engine.layers().from())
          .setLayerTo(engine.layers().to())
          .setModelLayers(engine.modelLayers())
          .setPartial(engine.partial())
          .setAccelerator(engine.accelerator())
          .setLayersPerSecond(engine.layersPerSecond())
          .setChecksFence(engine.checksFence());
    }
    return out.build();
  }

  private static TargetRecord decode(TargetFactImage in, long now) {
    TargetDescription.Engine engine = null;
    if (in.getEngine()) {
      engine =
          new TargetDescription.Engine(
              new LayerRange(in.getLayerFrom(), in.getLayerTo()),
              in.getModelLayers(),
              in.getPartial(),
              in.getAccelerator(),
              in.getLayersPerSecond(),
              in.getChecksFence());
    }
    return new TargetRecord(
        new TargetDescription(
            in.getName(), in.getAddress(), in.getDataCentre(), in.getServes(), engine),
        in.getIncarnation(),
        in.getSequence(),
        in.getLeaving(),
        new TargetLoad(
            in.getRunning(),
            in.getQueued(),
            in.getKvUsed(),
            now - in.getLoadAgeMillis() * NANOS_PER_MILLI),
        now + in.getLeaseLeftMillis() * NANOS_PER_MILLI);
  }

  private static long toMillis(long nanos) {
    return Math.max(0, nanos / NANOS_PER_MILLI);
  }
}
