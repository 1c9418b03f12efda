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
 * Converts statements about targets. Deadlines and times travel as what is left of them, since VMs
 * do not share a clock; the way adds to them, by less than a second.
 */
public final class TargetCodec {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private TargetCodec() {}

  /**
   * Encodes statements.
   *
   * @param facts the statements
   * @param now present time in nanoseconds
   */
  public static TargetFacts encode(Collection<TargetRecord> facts, long now) {
    TargetFacts.Builder out = TargetFacts.newBuilder();
    for (TargetRecord fact : facts) {
      out.addFacts(encode(fact, now));
    }
    return out.build();
  }

  /**
   * Decodes statements; one that makes no sense is left out.
   *
   * @param in the encoded statements
   * @param now present time in nanoseconds
   */
  public static List<TargetRecord> decode(TargetFacts in, long now) {
    return in.getFactsList().stream()
        .filter(TargetCodec::hasValidLayers)
        .map(fact -> decode(fact, now))
        .toList();
  }

  private static boolean hasValidLayers(TargetFactImage in) {
    return !in.getEngine() || in.getLayerFrom() < in.getLayerTo();
  }

  private static TargetFactImage encode(TargetRecord fact, long now) {
    TargetDescription d = fact.description();
    TargetFactImage.Builder out =
        TargetFactImage.newBuilder()
            .setName(d.name())
            .setAddress(d.address())
            .setDataCentre(d.dataCentre())
            .setServes(d.serves())
            .setIncarnation(fact.incarnation())
            .setSequence(fact.sequence())
            .setLeaving(fact.leaving())
            .setRunning(fact.load().running())
            .setQueued(fact.load().queued())
            .setKvUsed(fact.load().kvUsed())
            .setLoadAgeMillis(toMillis(now - fact.load().reportedAt()))
            .setLeaseLeftMillis(toMillis(fact.leaseDeadline() - now));
    TargetDescription.Engine engine = d.engine();
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
