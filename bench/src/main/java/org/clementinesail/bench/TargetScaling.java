package org.clementinesail.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.clementinesail.core.routing.ChainPlanner;
import org.clementinesail.core.routing.ModelPool;
import org.clementinesail.core.routing.ObservedLoad;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetDirectory;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;
import org.clementinesail.server.storage.StorageException;
import org.clementinesail.wire.TargetCodec;

/** Measures routing and the target directory against the number of targets. */
final class TargetScaling {
  private static final int[] TARGET_COUNTS = {30, 300, 1_700};
  private static final int LAYERS = 48;
  private static final int STAGES = 4;
  private static final int VMS = 9;

  private TargetScaling() {}

  static List<TargetRecord> targets(int count) {
    List<TargetRecord> targets = new ArrayList<>();
    int size = LAYERS / STAGES;
    for (int i = 0; i < count; i++) {
      int from = i % STAGES * size;
      TargetDescription.Engine engine =
          new TargetDescription.Engine(
              new LayerRange(from, from + size), LAYERS, false, "kind-" + i % 3, 1_000, true);
      TargetDescription description =
          new TargetDescription(
              "engine-" + i,
              "http://10.1." + i / 250 + "." + i % 250 + ":9000",
              "cardiff-a",
              "sail-lm",
              engine);
      targets.add(
          new TargetRecord(
              description, 1_764_800_000_000L, i, false, new TargetLoad(3, 1, 0.5, 0), 3));
    }
    return targets;
  }

  static ScalingCurve planTime() throws IOException, StorageException {
    return ScalingCurve.measure(
        "choice", "targets", "ns to plan one chain", TargetScaling::planNanos, TARGET_COUNTS);
  }

  private static double planNanos(int targetCount) {
    ModelPool pool = new ModelPool(targets(targetCount));
    ChainPlanner planner = new ChainPlanner(new ObservedLoad(() -> VMS), new Random(1));
    LayerRange all = new LayerRange(0, LAYERS);
    return Stopwatch.nanosPerCall(
        50_000,
        () -> {
          if (planner.plan(pool, all, Set.of(), "cardiff-a", 0).isEmpty()) {
            throw new IllegalStateException("the engines do not cover the layers");
          }
        });
  }

  static ScalingCurve poolBuildTime() throws IOException, StorageException {
    return ScalingCurve.measure(
        "regroup",
        "targets",
        "ns to build the pool after a change",
        targetCount -> {
          List<TargetRecord> records = targets(targetCount);
          return Stopwatch.nanosPerCall(200, () -> new ModelPool(records));
        },
        TARGET_COUNTS);
  }

  static ScalingCurve encodedBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "fact-bytes",
        "targets",
        "bytes of one message with all targets",
        targetCount -> TargetCodec.encode(targets(targetCount), 0).getSerializedSize(),
        TARGET_COUNTS);
  }

  static ScalingCurve directoryHeapBytes() throws IOException, StorageException {
    return ScalingCurve.measure(
        "directory-memory",
        "targets",
        "heap bytes of the directory",
        targetCount ->
            HeapUsage.retainedBytes(
                () -> {
                  TargetDirectory directory = new TargetDirectory();
                  Set<TargetRecord> records = new HashSet<>(targets(targetCount));
                  records.forEach(directory::merge);
                  return directory;
                }),
        TARGET_COUNTS);
  }
}
