package org.clementinesail.core.crashes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.crashes.CrashRecord.Crash;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which parts of requests are refused because they crash targets. */
public class PartCrashesTest {
  private static final long PART = 1;
  private static final long START = -5_000_000_000L;

  private static long at(long millis) {
    return START + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Crash crash(String target, long sentAt, long crashedAt) {
    return new Crash(target, at(sentAt), at(crashedAt));
  }

  private static boolean refused(PartCrashes parts, long millis) {
    return parts.refusedUntil(List.of(7L, PART), at(millis)).isPresent();
  }

  private static PartCrashes afterThreeCrashes() {
    PartCrashes parts = new PartCrashes();
    parts.recordCrash(PART, crash("e1@0", 0, 70));
    parts.recordCrash(PART, crash("e2@0", 71, 150));
    parts.recordCrash(PART, crash("e3@0", 900, 960));
    return parts;
  }

  /** What one VM decides. */
  public static final class DecisionTest {
    /** The third crash in a row makes a part refused, not the second. */
    @Test
    public void thirdCrashIsEnough() {
      PartCrashes parts = new PartCrashes();
      parts.recordCrash(PART, crash("e1@0", 0, 70));
      parts.recordCrash(PART, crash("e2@0", 71, 150));
      assertFalse(refused(parts, 151));
      parts.recordCrash(PART, crash("e3@0", 900, 960));
      assertTrue(refused(parts, 961));
    }

    /** A part that is answered between crashes of its targets is not at fault. */
    @Test
    public void answeredPartIsNotRefused() {
      PartCrashes parts = new PartCrashes();
      for (int i = 0; i < 20; i++) {
        parts.recordCrash(PART, crash("e" + i, i * 1_000L, i * 1_000L + 70));
        parts.recordCrash(PART, crash("f" + i, i * 1_000L + 100, i * 1_000L + 170));
        assertEquals(parts.recordAnswer(List.of(PART), at(i * 1_000L + 300)).size(), 1);
        assertFalse(refused(parts, i * 1_000L + 400));
      }
    }

    /** Targets that fail at the same moment, as in a power loss, do not make a part refused. */
    @Test
    public void targetsThatFailTogetherCountOnce() {
      PartCrashes parts = new PartCrashes();
      for (int i = 0; i < 6; i++) {
        parts.recordCrash(PART, crash("e" + i, 10L * i, 100 + i));
      }
      assertFalse(refused(parts, 200));
    }

    /** Crashes without end, as from requests of VMs that are cut off, do not end a refusal. */
    @Test
    public void manyCrashesDoNotEndRefusal() {
      PartCrashes parts = new PartCrashes();
      for (int i = 0; i < 100; i++) {
        parts.recordCrash(PART, crash("e" + i, 200L * i, 200L * i + 70));
        assertEquals(refused(parts, 200L * i + 71), i >= 2, "crash " + i);
      }
    }

    /** A wave of crashes does not displace the crashes before it, which count separately. */
    @Test
    public void simultaneousCrashesDoNotEndRefusal() {
      PartCrashes parts = afterThreeCrashes();
      for (int i = 0; i < 40; i++) {
        parts.recordCrash(PART, crash("f" + i, 950, 2_000 + i));
      }
      assertTrue(refused(parts, 2_100));
    }

    /** A refused part is tried again, by one request; its crash extends the refusal. */
    @Test
    public void refusedPartIsTriedAgain() {
      PartCrashes parts = afterThreeCrashes();
      assertTrue(refused(parts, 30_900));
      assertFalse(refused(parts, 31_000));
      parts.recordSent(List.of(PART), at(31_000));
      assertTrue(refused(parts, 31_001));
      parts.recordCrash(PART, crash("e4@0", 31_000, 31_070));
      assertTrue(refused(parts, 91_000));
      assertFalse(refused(parts, 91_100));
      parts.recordAnswer(List.of(PART), at(91_200));
      assertFalse(refused(parts, 91_201));
    }

    /**
     * Of two parts that were in all requests at crashes, the one answered before is not refused.
     */
    @Test
    public void partAnsweredBeforeIsNotRefusedBesideAnother() {
      PartCrashes parts = new PartCrashes();
      parts.recordAnswer(List.of(PART), at(-100));
      for (int i = 0; i < 3; i++) {
        parts.recordCrash(PART, crash("e" + i, 200L * i, 200L * i + 70));
        parts.recordCrash(2, crash("e" + i, 200L * i, 200L * i + 70));
      }
      assertFalse(refused(parts, 600));
      assertTrue(parts.refusedUntil(List.of(2L), at(600)).isPresent());
    }

    /** The part at all crashes is refused, not one at some that happen to count separately. */
    @Test
    public void partAtAllCrashesIsNotClearedByOneAtSome() {
      PartCrashes parts = new PartCrashes();
      int[][] crashes = {{0, 70}, {71, 140}, {141, 160}, {161, 165}};
      for (int[] times : crashes) {
        parts.recordCrash(PART, crash("e" + times[1], times[0], times[1]));
        parts.recordCrash(2, crash("e" + times[1], Math.min(times[0], 60), times[1]));
      }
      parts.recordCrash(2, crash("e240", 171, 240));
      parts.recordCrash(2, crash("e340", 241, 340));
      assertTrue(parts.refusedUntil(List.of(2L), at(400)).isPresent());
      assertFalse(refused(parts, 400));
    }

    /** Records of parts that were beside a crash do not displace that of a refused part. */
    @Test
    public void refusedPartIsNotDisplaced() {
      PartCrashes parts = afterThreeCrashes();
      for (int i = 0; i < 3_000; i++) {
        parts.recordCrash(1_000 + i, crash("f" + i % 10, 1_000, 2_000 + i % 10));
      }
      assertTrue(refused(parts, 2_100));
    }

    /** Memory stays bounded when parts never repeat. */
    @Test
    public void recordsAreBounded() {
      PartCrashes parts = new PartCrashes();
      for (int i = 0; i < 5_000; i++) {
        parts.recordCrash(i, crash("e" + i, i, i + 1));
      }
      assertEquals(parts.records().size(), 1_024);
      parts.recordCrash(-1, crash("e", 700_000, 700_001));
      assertEquals(parts.records().size(), 1);
    }
  }

  /** What VMs tell each other. */
  public static final class MergeTest {
    /** A VM that answered a part after crashes it had not heard of yet clears them once it does. */
    @Test
    public void answerAfterCrashesHeardOfLaterClears() {
      PartCrashes other = new PartCrashes();
      other.recordAnswer(List.of(PART), at(-100));
      PartCrashes parts = new PartCrashes();
      parts.recordAnswer(List.of(PART), at(1_000));
      for (int i = 0; i < 3; i++) {
        other.recordCrash(PART, crash("e" + i, 200L * i, 200L * i + 70));
      }
      assertTrue(refused(other, 1_001));
      parts.merge(other.records().get(0), at(2_000));
      CrashRecord recalled = parts.recallAnswer(PART, at(2_001)).orElseThrow();
      assertFalse(refused(parts, 2_002));
      other.merge(recalled, at(2_002));
      assertFalse(refused(other, 2_003));
    }

    /** Crashes seen by different VMs add up; the same crash counts once, an old record nothing. */
    @Test
    public void crashesOfAllVmsCount() {
      PartCrashes parts = new PartCrashes();
      PartCrashes other = new PartCrashes();
      CrashRecord first = other.recordCrash(PART, crash("e1@0", 0, 70));
      parts.recordCrash(PART, crash("e1@0", 1, 71));
      parts.recordCrash(PART, crash("e2@0", 400, 470));
      assertFalse(parts.merge(first, at(500)));
      assertFalse(refused(parts, 501));
      CrashRecord third = other.recordCrash(PART, crash("e3@0", 900, 960));
      assertTrue(parts.merge(third, at(1_000)));
      assertTrue(refused(parts, 1_001));
      CrashRecord cleared = other.recordAnswer(List.of(PART), at(1_100)).get(0);
      assertTrue(parts.merge(cleared, at(1_101)));
      assertFalse(parts.merge(third, at(1_102)));
      assertFalse(refused(parts, 1_103));
    }

    /** A VM that saw a part answered before its crashes tells the others once it is suspect. */
    @Test
    public void answersSeenByOtherVmsCount() {
      PartCrashes parts = new PartCrashes();
      PartCrashes other = new PartCrashes();
      other.recordAnswer(List.of(PART), at(-100));
      for (int i = 0; i < 3; i++) {
        Crash crash = crash("e" + i, 200L * i, 200L * i + 70);
        other.merge(parts.recordCrash(PART, crash), at(200L * i + 80));
        other.merge(parts.recordCrash(2, crash), at(200L * i + 80));
        other.recallAnswer(2, at(200L * i + 90));
        other.recallAnswer(PART, at(200L * i + 90)).ifPresent(r -> parts.merge(r, at(2_000)));
      }
      assertFalse(refused(parts, 2_001));
      assertTrue(parts.refusedUntil(List.of(2L), at(2_001)).isPresent());
    }

    /** A VM that restarts learns what is refused from the records of another. */
    @Test
    public void restartedVmLearnsRefusals() {
      PartCrashes restarted = new PartCrashes();
      afterThreeCrashes().records().forEach(record -> restarted.merge(record, at(2_000)));
      assertTrue(refused(restarted, 2_001));
    }
  }

  /** A load of requests at many VMs, a share of which have the part that crashes targets. */
  public static final class LoadTest {
    private static final int VMS = 9;
    private static final long DEADLY = 1_000_000;

    /** Seeds and shares of requests with the deadly part. */
    @DataProvider
    public Object[][] loads() {
      List<Object[]> loads = new ArrayList<>();
      for (long seed = 1; seed <= 20; seed++) {
        for (double share : new double[] {0.005, 0.05, 0.3}) {
          loads.add(new Object[] {seed, share});
        }
      }
      return loads.toArray(Object[][]::new);
    }

    /**
     * At most three requests with the deadly part are sent later than 3 s after the fifth crash,
     * within a minute, and no sound part is refused: 40 requests a second over 60 first parts, each
     * answered after 70 ms, records exchanged within 100 ms; a crash also hits two sound requests.
     */
    @Test(dataProvider = "loads")
    public void deadlyPartIsRefusedAndSoundOnesAreNot(long seed, double share) {
      Load load = new Load(seed);
      for (long now = 0; now < 60_000; now += 25) {
        load.run(now, share);
      }
      long late = load.sentAt.stream().filter(t -> t > load.crashedAt(5) + 3_000).count();
      assertTrue(late <= 3, late + " were sent late");
    }

    private static final class Load {
      final List<Long> sentAt = new ArrayList<>();
      private final Random random;
      private final List<PartCrashes> vms = new ArrayList<>();
      private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();

      Load(long seed) {
        random = new Random(seed);
        for (int i = 0; i < VMS; i++) {
          vms.add(new PartCrashes());
        }
      }

      long crashedAt(int number) {
        return sentAt.size() < number ? Long.MAX_VALUE / 2 : sentAt.get(number - 1) + 70;
      }

      void run(long now, double share) {
        while (!events.isEmpty() && events.firstKey() <= now) {
          events.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        boolean deadly = random.nextDouble() < share;
        long part = firstPart();
        send(deadly ? List.of(part, DEADLY) : List.of(part), now);
      }

      private long firstPart() {
        return (long) (60 * Math.pow(random.nextDouble(), 2));
      }

      private void send(List<Long> keys, long now) {
        PartCrashes vm = vms.get(random.nextInt(VMS));
        boolean deadly = keys.contains(DEADLY);
        if (vm.refusedUntil(keys, at(now)).isPresent()) {
          assertTrue(deadly, "sound part is refused at " + now + ": " + keys);
          return;
        }
        vm.recordSent(keys, at(now));
        if (deadly) {
          sentAt.add(now);
          Crash crash = PartCrashesTest.crash("e" + sentAt.size(), now, now + 70);
          schedule(now + 70, () -> loseAnswers(vm, keys, crash));
        } else {
          schedule(now + 70, () -> exchange(vm.recordAnswer(keys, at(now + 70)), now + 70));
        }
      }

      private void loseAnswers(PartCrashes vm, List<Long> keys, Crash crash) {
        List<CrashRecord> changed = new ArrayList<>();
        keys.forEach(key -> changed.add(vm.recordCrash(key, crash)));
        changed.add(vm.recordCrash(firstPart(), crash));
        changed.add(vm.recordCrash(firstPart(), crash));
        exchange(changed, TimeUnit.NANOSECONDS.toMillis(crash.crashedAt() - START));
      }

      private void exchange(List<CrashRecord> changed, long now) {
        schedule(
            now + 100, () -> vms.forEach(vm -> changed.forEach(r -> vm.merge(r, at(now + 100)))));
      }

      private void schedule(long time, Runnable event) {
        events.computeIfAbsent(time, key -> new ArrayList<>()).add(event);
      }
    }
  }
}
