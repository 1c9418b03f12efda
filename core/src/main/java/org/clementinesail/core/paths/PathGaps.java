package org.clementinesail.core.paths;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.targets.LayerRange;
import org.jspecify.annotations.Nullable;

/** Tells which layers keep a request from having a path, and why their engines are left out. */
final class PathGaps {
  /** Most ranges that are described; the log line stays short. */
  private static final int MAX_RANGES = 3;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Why an engine is left out. */
  enum Reason {
    /** It takes no requests now, or its notices say so. */
    NOT_READY,
    /** The request has been there. */
    TRIED,
    /** It gave no report, or lost answers. */
    SUSPECT,
    /** It has reached the limit that it names, and the path would begin there. */
    LIMIT,
    /** Its memory is taken. */
    MEMORY
  }

  /** An engine, its memory, and why it is left out; null if it is not. */
  private record Engine(
      Fleet.Member member, LayerRange layers, EngineMemory.Use use, @Nullable Reason reason) {}

  private final int modelLayers;
  private final long now;
  private final Set<String> ready;
  private final Set<String> excluded;
  private final Set<String> notFirst;
  private final List<Engine> engines = new ArrayList<>();

  /**
   * Creates a description without engines.
   *
   * @param modelLayers number of layers of the model
   * @param now current time in nanoseconds of this VM's monotonic clock
   * @param ready identities of targets that accept new work
   * @param excluded identities of targets that the request must not use
   * @param notFirst identities of targets that must not get the request as the first of a path
   */
  PathGaps(
      int modelLayers, long now, Set<String> ready, Set<String> excluded, Set<String> notFirst) {
    this.modelLayers = modelLayers;
    this.now = now;
    this.ready = ready;
    this.excluded = excluded;
    this.notFirst = notFirst;
  }

  /** Adds an engine that holds layers, with its memory and what the request needs of it. */
  void add(Fleet.Member member, LayerRange layers, EngineMemory.Use use) {
    engines.add(new Engine(member, layers, use, reason(member, use)));
  }

  private @Nullable Reason reason(Fleet.Member member, EngineMemory.Use use) {
    String id = member.statement().id();
    if (!ready.contains(id)) {
      return Reason.NOT_READY;
    }
    if (excluded.contains(id)) {
      return Reason.TRIED;
    }
    if (member.isSuspect(now)) {
      return Reason.SUSPECT;
    }
    if (!use.fits()) {
      return Reason.MEMORY;
    }
    return notFirst.contains(id) ? Reason.LIMIT : null;
  }

  /**
   * Returns the ranges of layers that no engine serves, for each the number of engines that hold it
   * by the reason that leaves them out, and the memory of the one with most room for the request.
   */
  String describe() {
    List<String> gaps = new ArrayList<>();
    for (LayerRange gap : gaps()) {
      if (gaps.size() < MAX_RANGES) {
        gaps.add(describe(gap));
      }
    }
    return gaps.isEmpty() ? "each layer has an engine" : String.join("; ", gaps);
  }

  private List<LayerRange> gaps() {
    NavigableSet<Integer> boundaries = new TreeSet<>(List.of(0, modelLayers));
    for (Engine engine : engines) {
      boundaries.add(engine.layers().from());
      boundaries.add(engine.layers().to());
    }
    List<LayerRange> gaps = new ArrayList<>();
    for (int from : boundaries.headSet(modelLayers)) {
      Integer to = boundaries.higher(from);
      if (to != null) {
        LayerRange range = new LayerRange(from, Math.min(to, modelLayers));
        if (holders(range).stream().noneMatch(engine -> reason(engine, range) == null)) {
          gaps.add(range);
        }
      }
    }
    return gaps;
  }

  private List<Engine> holders(LayerRange range) {
    return engines.stream().filter(engine -> engine.layers().contains(range)).toList();
  }

  private static @Nullable Reason reason(Engine engine, LayerRange range) {
    return engine.reason() == Reason.LIMIT && range.from() > 0 ? null : engine.reason();
  }

  private String describe(LayerRange gap) {
    List<Engine> holders = holders(gap);
    Map<Reason, Long> counts =
        holders.stream()
            .collect(Collectors.groupingBy(Engine::reason, TreeMap::new, Collectors.counting()));
    String text = gap + " " + holders.size() + " engines " + counts;
    return holders.stream()
        .filter(engine -> engine.reason() == Reason.MEMORY)
        .min((a, b) -> Double.compare(a.use().share(), b.use().share()))
        .map(engine -> text + ", " + describe(engine))
        .orElse(text);
  }

  private String describe(Engine engine) {
    EngineMemory.Use use = engine.use();
    String age =
        engine
            .member()
            .freshReport(now)
            .map(EngineReport::reportedAt)
            .map(at -> ", report " + (now - at) / NANOS_PER_MILLI + " ms old")
            .orElse(", no report");
    return "%s used %.0f changed %.0f required %.0f of %.0f%s"
        .formatted(
            engine.member().statement().id(),
            use.used(),
            use.changed(),
            use.required(),
            use.total(),
            age);
  }
}
