package org.clementinesail.server.targets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.rules.RuleParseResult;
import org.clementinesail.core.rules.RuleParser;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.core.targets.TargetDescription;
import org.clementinesail.core.targets.TargetLoad;
import org.clementinesail.core.targets.TargetRecord;
import org.testng.annotations.Test;

/** Tests which targets are chosen for new work. */
public final class TargetRegistryTest {
  private static final LayerRange ALL_LAYERS = new LayerRange(0, 4);

  private RuleSet rules = RuleSet.EMPTY;
  private final TargetRegistry registry = new TargetRegistry(() -> 1, () -> rules, new Random(1));

  private static TargetRecord newRecord(
      String name, long incarnation, long sequence, long leaseSeconds) {
    TargetDescription.Engine engine =
        new TargetDescription.Engine(ALL_LAYERS, 4, false, "kind-a", 100, true);
    TargetDescription description =
        new TargetDescription(name, "http://127.0.0.1:1", "dc", "m", engine);
    long now = System.nanoTime();
    return new TargetRecord(
        description,
        incarnation,
        sequence,
        false,
        new TargetLoad(0, 0, 0, now),
        now + TimeUnit.SECONDS.toNanos(leaseSeconds));
  }

  private TargetRegistry registryWithEngines(String... names) {
    TargetRegistry created = new TargetRegistry(() -> 1, () -> rules, new Random(1));
    for (String name : names) {
      created.recordAnnouncement(newRecord(name, 1, 1, 60));
    }
    return created;
  }

  private static Set<String> chosenTargets(TargetRegistry targets) {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      targets
          .planStages("m", ALL_LAYERS, Set.of(), null)
          .map(List::iterator)
          .ifPresent(stages -> names.add(stages.next().target().name()));
    }
    return names;
  }

  /** A target drained by a rule gets no new work as soon as the rule is in force. */
  @Test
  public void drainedTargetIsNotChosen() {
    rules = RuleSet.EMPTY;
    TargetRegistry targets = registryWithEngines("e1", "e2");
    assertEquals(chosenTargets(targets), Set.of("e1", "e2"));
    rules =
        ((RuleParseResult.Valid) RuleParser.parse("number 1 # a\ndrain target=e1 # Gwen: hot"))
            .rules();
    targets.rebuildGroups();
    assertEquals(chosenTargets(targets), Set.of("e2"));
    rules = RuleSet.EMPTY;
  }

  /** A leaving target gets no new work in its incarnation, but may return in a later one. */
  @Test
  public void leavingTargetReturnsOnlyInNewIncarnation() {
    TargetRegistry targets = registryWithEngines("e1", "e2");
    assertTrue(targets.recordLeaving("e1", 1, 5));
    assertEquals(chosenTargets(targets), Set.of("e2"));
    targets.merge(List.of(newRecord("e1", 1, 9, 60)));
    assertEquals(chosenTargets(targets), Set.of("e2"), "newer record of the incarnation that left");
    targets.merge(List.of(newRecord("e1", 2, 1, 60)));
    assertEquals(chosenTargets(targets), Set.of("e1", "e2"));
    assertFalse(targets.recordLeaving("e1", 1, 99), "an older incarnation cannot leave");
  }

  /** A failed target is not chosen, unless it is the only one. */
  @Test
  public void failedTargetIsEjected() {
    TargetRegistry targets = registryWithEngines("e1", "e2", "e3");
    targets.recordFailure("e1");
    assertEquals(chosenTargets(targets), Set.of("e2", "e3"));
    TargetRegistry single = registryWithEngines("e1");
    single.recordFailure("e1");
    assertEquals(chosenTargets(single), Set.of("e1"));
  }

  /** A target whose lease has expired is removed. */
  @Test
  public void expiredTargetIsRemoved() {
    registry.recordAnnouncement(newRecord("e1", 1, 1, -1));
    registry.expire();
    assertTrue(registry.records().isEmpty());
    assertEquals(registry.modelLayers("m"), 0);
  }

  /** Comparing digests finds the records that a VM lacks, and nothing once it has them. */
  @Test
  public void digestsFindMissingRecords() {
    TargetRegistry full = registryWithEngines("e1", "e2", "e3");
    TargetRegistry incomplete = registryWithEngines("e1", "e3");
    List<String> found =
        full.recordsInDifferingBuckets(incomplete.digests()).stream()
            .map(TargetRecord::name)
            .toList();
    assertTrue(found.contains("e2"), found.toString());
    incomplete.merge(full.recordsInDifferingBuckets(incomplete.digests()));
    assertTrue(full.recordsInDifferingBuckets(incomplete.digests()).isEmpty());
  }
}
