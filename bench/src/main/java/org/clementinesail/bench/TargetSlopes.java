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

/** Slopes against the number of targets. */
final class TargetSlopes {
  private static final int[] TARGETS = {30, 300, 1_700};
  private static final int LAYERS = 48;
  private static final int STAGES = 4;
  private static final int VMS = 9;

  private TargetSlopes() {}

  static List<TargetRecord> facts(int count) {
    List<TargetRecord> facts = new ArrayList<>();
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
      facts.add(
          new TargetRecord(
              description, 1_764_800_000_000L, i, false, new TargetLoad(3, 1, 0.5, 0), 3));
    }
    return facts;
  }

  static Slope choice() throws IOException, StorageException {
    return Slope.measure(
        "choice", "targets", "ns for one choice of a chain", TargetSlopes::choiceNanos, TARGETS);
  }

  private static double choiceNanos(int targets) {
    ModelPool pool = new ModelPool(facts(targets));
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

  static Slope regroup() throws IOException, StorageException {
    return Slope.measure(
        "regroup",
        "targets",
        "ns to group the targets after a change",
        targets -> {
          List<TargetRecord> facts = facts(targets);
          return Stopwatch.nanosPerCall(200, () -> new ModelPool(facts));
        },
        TARGETS);
  }

  static Slope factBytes() throws IOException, StorageException {
    return Slope.measure(
        "fact-bytes",
        "targets",
        "bytes of one statement about each",
        targets -> TargetCodec.encode(facts(targets), 0).getSerializedSize(),
        TARGETS);
  }

  static Slope directoryMemory() throws IOException, StorageException {
    return Slope.measure(
        "directory-memory",
        "targets",
        "bytes of heap for the directory",
        targets ->
            Memory.bytesOf(
                () -> {
                  TargetDirectory directory = new TargetDirectory();
                  Set<TargetRecord> facts = new HashSet<>(facts(targets));
                  facts.forEach(directory::merge);
                  return directory;
                }),
        TARGETS);
  }
}
