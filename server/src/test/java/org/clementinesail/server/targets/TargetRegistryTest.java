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

/** Which targets get new work. */
public final class TargetRegistryTest {
  private static final LayerRange ALL = new LayerRange(0, 4);

  private RuleSet rules = RuleSet.EMPTY;
  private final TargetRegistry registry = new TargetRegistry(() -> 1, () -> rules, new Random(1));

  private static TargetRecord fact(
      String name, long incarnation, long sequence, long leaseSeconds) {
    TargetDescription.Engine engine =
        new TargetDescription.Engine(ALL, 4, false, "kind-a", 100, true);
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

  private TargetRegistry withEngines(String... names) {
    TargetRegistry fresh = new TargetRegistry(() -> 1, () -> rules, new Random(1));
    for (String name : names) {
      fresh.announced(fact(name, 1, 1, 60));
    }
    return fresh;
  }

  private static Set<String> chosen(TargetRegistry targets) {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      targets
          .plan("m", ALL, Set.of(), null)
          .map(List::iterator)
          .ifPresent(stages -> names.add(stages.next().target().name()));
    }
    return names;
  }

  /** A target that a rule drains gets no new work from the moment the rule is in force. */
  @Test
  public void drainedTargetIsNotChosen() {
    rules = RuleSet.EMPTY;
    TargetRegistry targets = withEngines("e1", "e2");
    assertEquals(chosen(targets), Set.of("e1", "e2"));
    rules =
        ((RuleParseResult.Valid) RuleParser.parse("number 1 # a\ndrain target=e1 # Gwen: hot"))
            .rules();
    targets.regroup();
    assertEquals(chosen(targets), Set.of("e2"));
    rules = RuleSet.EMPTY;
  }

  /** A leaving target stays away in its incarnation, and may come back in the next. */
  @Test
  public void leavingBeatsAnOlderAlive() {
    TargetRegistry targets = withEngines("e1", "e2");
    assertTrue(targets.leaving("e1", 1, 5));
    assertEquals(chosen(targets), Set.of("e2"));
    targets.merge(List.of(fact("e1", 1, 9, 60)));
    assertEquals(chosen(targets), Set.of("e2"), "an alive of the same incarnation");
    targets.merge(List.of(fact("e1", 2, 1, 60)));
    assertEquals(chosen(targets), Set.of("e1", "e2"));
    assertFalse(targets.leaving("e1", 1, 99), "an older incarnation leaves no more");
  }

  /** A target that has failed is set aside, unless it is the only one. */
  @Test
  public void failedTargetIsSetAside() {
    TargetRegistry targets = withEngines("e1", "e2", "e3");
    targets.failed("e1");
    assertEquals(chosen(targets), Set.of("e2", "e3"));
    TargetRegistry single = withEngines("e1");
    single.failed("e1");
    assertEquals(chosen(single), Set.of("e1"));
  }

  /** A target whose lease lapses is forgotten. */
  @Test
  public void lapsedLeaseIsForgotten() {
    registry.announced(fact("e1", 1, 1, -1));
    registry.expire();
    assertTrue(registry.facts().isEmpty());
    assertEquals(registry.modelLayers("m"), 0);
  }

  /** Digests find what a VM lacks, and nothing else. */
  @Test
  public void digestsFindWhatIsLacking() {
    TargetRegistry full = withEngines("e1", "e2", "e3");
    TargetRegistry lacking = withEngines("e1", "e3");
    List<String> found =
        full.differing(lacking.digests()).stream().map(TargetRecord::name).toList();
    assertTrue(found.contains("e2"), found.toString());
    lacking.merge(full.differing(lacking.digests()));
    assertTrue(full.differing(lacking.digests()).isEmpty());
  }
}
