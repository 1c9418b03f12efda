package org.clementinesail.core.admission;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.clementinesail.core.load.FleetLoad;
import org.testng.annotations.Test;

/**
 * Plays a minute of requests at twice the capacity against the queue and, as the baseline, against
 * requests that look for a target every 25 ms in no order. Both see the same arrivals.
 */
public class AdmissionLoadTest {
  private static final int SLOTS = 20;
  private static final int CALL_MILLIS = 100;
  private static final int WAIT_MILLIS = 250;
  private static final int MILLIS = 60_000;

  /** Requests per millisecond that fill the slots twice. */
  private static final double ARRIVALS = 2.0 * SLOTS / CALL_MILLIS;

  private record Result(Map<String, int[]> byKey) {
    /** Returns the part of the requests with a key that got a slot. */
    double served(String key) {
      int[] counts = byKey.getOrDefault(key, new int[2]);
      return (double) counts[1] / counts[0];
    }
  }

  private static List<WaitingRequest> arrivals(Function<Random, WaitingRequest> kind) {
    Random random = new Random(7);
    List<WaitingRequest> all = new ArrayList<>();
    for (int i = 0; i < MILLIS * ARRIVALS; i++) {
      WaitingRequest shape = kind.apply(random);
      long at = millis((int) (i / ARRIVALS));
      all.add(
          new WaitingRequest(
              i,
              shape.rank(),
              shape.workspace(),
              shape.route(),
              shape.subject(),
              1,
              at + millis(1_000),
              at + millis(WAIT_MILLIS)));
    }
    return all;
  }

  private static WaitingRequest shape(int rank, String workspace, String subject) {
    return new WaitingRequest(0, rank, workspace, "r" + rank, subject, 1, 0, 0);
  }

  private static long millis(int millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Result play(List<WaitingRequest> arrivals, boolean ordered) {
    Map<String, int[]> counts = new HashMap<>();
    AdmissionQueue queue = new AdmissionQueue("s");
    List<WaitingRequest> unordered = new ArrayList<>();
    List<Integer> ends = new ArrayList<>();
    Random random = new Random(3);
    int arrived = 0;
    for (int t = 0; t < MILLIS; t++) {
      long now = millis(t);
      int time = t;
      ends.removeIf(end -> end <= time);
      for (; arrived < arrivals.size() && arrived / ARRIVALS < t + 1; arrived++) {
        WaitingRequest request = arrivals.get(arrived);
        count(counts, request, 0);
        queue.recordOffered(request, now);
        boolean starts = !ordered || queue.mayStart(request, FleetLoad.NONE, now);
        if (starts && ends.size() < SLOTS) {
          admit(queue, request, false, ends, counts, t);
        } else if (ordered) {
          queue.offer(request, now);
        } else {
          unordered.add(request);
        }
      }
      if (ordered) {
        QueuePass pass = new QueuePass(0);
        Optional<WaitingRequest> next = queue.next(pass, FleetLoad.NONE, now);
        while (next.isPresent() && ends.size() < SLOTS) {
          queue.remove(next.get(), now);
          admit(queue, next.get(), true, ends, counts, t);
          next = queue.next(pass, FleetLoad.NONE, now);
        }
        if (t % 25 == 0) {
          arrivals.subList(Math.max(0, arrived - 400), arrived).stream()
              .filter(request -> request.isOver(now))
              .forEach(request -> queue.remove(request, now));
        }
      } else if (t % 25 == 0) {
        unordered.removeIf(request -> request.isOver(now));
        java.util.Collections.shuffle(unordered, random);
        while (!unordered.isEmpty() && ends.size() < SLOTS) {
          admit(queue, unordered.remove(0), true, ends, counts, t);
        }
      }
    }
    return new Result(counts);
  }

  private static void admit(
      AdmissionQueue queue,
      WaitingRequest request,
      boolean waited,
      List<Integer> ends,
      Map<String, int[]> counts,
      int t) {
    queue.recordAdmitted(request, waited, millis(t));
    ends.add(t + CALL_MILLIS);
    count(counts, request, 1);
  }

  private static void count(Map<String, int[]> counts, WaitingRequest request, int index) {
    for (String key :
        List.of("all", "rank" + request.rank(), request.workspace(), request.subject())) {
      counts.computeIfAbsent(key, k -> new int[2])[index]++;
    }
  }

  private static void print(String load, String key, Result baseline, Result queue) {
    System.out.printf(
        "%s, %s: unordered %.3f, queue %.3f%n", load, key, baseline.served(key), queue.served(key));
  }

  /** Guards against urgent requests that are refused while others are served, and starvation. */
  @Test
  public void urgentQuarterIsServedAtTwiceTheCapacity() {
    List<WaitingRequest> load = arrivals(r -> shape(r.nextInt(4) == 0 ? 0 : 1, "w", ""));
    Result baseline = play(load, false);
    Result queue = play(load, true);
    print("a quarter urgent", "rank0", baseline, queue);
    print("a quarter urgent", "rank1", baseline, queue);
    assertTrue(baseline.served("rank0") < 0.7, "the baseline prefers no rank");
    assertTrue(queue.served("rank0") > 0.95, "urgent: " + queue.served("rank0"));
    assertTrue(queue.served("rank1") > 0.25, "others: " + queue.served("rank1"));
  }

  /** Guards against urgent requests that take all and leave nothing to the others. */
  @Test
  public void urgentExcessLeavesOthersAQuarterOfTheMean() {
    List<WaitingRequest> load = arrivals(r -> shape(r.nextInt(4) == 0 ? 1 : 0, "w", ""));
    Result baseline = play(load, false);
    Result queue = play(load, true);
    print("three quarters urgent", "rank0", baseline, queue);
    print("three quarters urgent", "rank1", baseline, queue);
    assertTrue(queue.served("rank1") > 0.25 * queue.served("all"), "" + queue.served("rank1"));
  }

  /** Guards against a large workspace that takes the room of the small ones, or gets none. */
  @Test
  public void largeWorkspaceLeavesRoomForSmallOnes() {
    List<WaitingRequest> load =
        arrivals(r -> shape(1, r.nextBoolean() ? "large" : "small" + r.nextInt(23), ""));
    checkShares("one workspace with half of the load", load);
  }

  /** Guards against a subject of many prompts that takes the room of the others, or gets none. */
  @Test
  public void largeSubjectLeavesRoomForSmallOnes() {
    List<WaitingRequest> load =
        arrivals(r -> shape(1, "w", r.nextInt(10) < 6 ? "large" : "small" + r.nextInt(23)));
    checkShares("one subject with 0.6 of the load", load);
  }

  private static void checkShares(String name, List<WaitingRequest> load) {
    Result baseline = play(load, false);
    Result queue = play(load, true);
    print(name, "large", baseline, queue);
    double worst = 1;
    for (int i = 0; i < 23; i++) {
      worst = Math.min(worst, queue.served("small" + i));
    }
    print(name, "small0", baseline, queue);
    print(name, "all", baseline, queue);
    assertTrue(worst > queue.served("large"), "worst small one: " + worst);
    assertTrue(queue.served("large") > 0.25 * queue.served("all"), "large is starved");
    assertTrue(queue.served("all") > 0.95 * baseline.served("all"), "capacity is left unused");
  }
}
