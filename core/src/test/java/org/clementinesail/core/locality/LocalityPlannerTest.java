package org.clementinesail.core.locality;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.clementinesail.core.locality.ServiceFigures.DataCentre;
import org.testng.annotations.Test;

/** Plans shares for data centres with 100 slots each and calls of a second. */
public class LocalityPlannerTest {
  private static final long AGE = TimeUnit.MILLISECONDS.toNanos(500);
  private static final Links SOUND = (from, to) -> new Links.Link(true, 30, Double.MAX_VALUE);

  private static ServiceFigures figures(double... demand) {
    Map<String, DataCentre> dataCentres = new HashMap<>();
    for (int i = 0; i < demand.length; i++) {
      dataCentres.put("" + (char) ('a' + i), new DataCentre(demand[i], 100, 0));
    }
    return new ServiceFigures("s", 1, 0, 2_000, 0, dataCentres);
  }

  private static LocalityShares plan(ServiceFigures figures, Links links, LocalityShares previous) {
    return LocalityPlanner.plan(List.of(figures), links, previous, AGE);
  }

  /** Figures that are too old lead work to a data centre that has become full since. */
  @Test
  public void staleFiguresGiveNoShares() {
    long stale = TimeUnit.SECONDS.toNanos(2) + 1;
    LocalityShares shares =
        LocalityPlanner.plan(List.of(figures(200, 50)), SOUND, LocalityShares.NONE, stale);
    assertFalse(shares.isKnown("s", "a"));
    assertTrue(shares.draw("s", "a", 0, 0, 0.5).isEmpty());
  }

  /** Requests stay where no server is left. */
  @Test
  public void allDemandLeavesLostDataCentre() {
    Map<String, DataCentre> dataCentres = new HashMap<>(figures(50, 60, 75).dataCentres());
    dataCentres.put("a", new DataCentre(50, 0, 0));
    LocalityShares shares =
        plan(new ServiceFigures("s", 1, 0, 2_000, 0, dataCentres), SOUND, LocalityShares.NONE);
    assertEquals(shares.share("s", "a", "a"), 0, 1e-9);
    // 95 slots are used before a reserve: 35 and 20 are free.
    assertEquals(shares.share("s", "a", "b"), 35.0 / 55, 0.01);
  }

  /** Requests are sent over a link that is cut, also if they used it before. */
  @Test
  public void nothingCrossesCutLink() {
    LocalityShares before = plan(figures(150, 20, 20), SOUND, LocalityShares.NONE);
    assertTrue(before.share("s", "a", "b") > 0.1);
    Links cut = (from, to) -> new Links.Link(!to.equals("b"), 30, Double.MAX_VALUE);
    LocalityShares after = plan(figures(150, 20, 20), cut, before);
    assertEquals(after.share("s", "a", "b"), 0.0);
    assertEquals(after.share("s", "a", "c"), 55.0 / 150, 0.01);
  }

  /** Overloaded data centres send each other work, which costs bytes and serves none more. */
  @Test
  public void overloadedDataCentresExchangeNothing() {
    LocalityShares shares = plan(figures(200, 150, 60), SOUND, LocalityShares.NONE);
    assertEquals(shares.share("s", "a", "b") + shares.share("s", "b", "a"), 0.0);
    assertTrue(shares.share("s", "a", "c") > shares.share("s", "b", "c"));
  }

  /** Random variation of a steady demand near the capacity switches a share on and off. */
  @Test
  public void steadyDemandNearCapacityDoesNotFlap() {
    Random random = new Random(3);
    LocalityShares shares = LocalityShares.NONE;
    int changes = 0;
    for (int i = 0; i < 400; i++) {
      LocalityShares next = plan(figures(95 + 4 * random.nextGaussian(), 50), SOUND, shares);
      changes += next.share("s", "a", "b") == shares.share("s", "a", "b") ? 0 : 1;
      shares = next;
    }
    assertTrue(changes <= 2, changes + " changes in 100 s");
  }

  /** Without a known call time, work that was sent away counts as demand of its new place. */
  @Test
  public void requestsInProgressAtOtherDataCentreCountForTheirOrigin() {
    Map<String, DataCentre> steady =
        Map.of("a", new DataCentre(0, 100, 95), "b", new DataCentre(0, 100, 75));
    LocalityShares before = plan(figures(145, 25), SOUND, LocalityShares.NONE);
    LocalityShares after = plan(new ServiceFigures("s", 0, 0, 2_000, 0, steady), SOUND, before);
    assertEquals(after.share("s", "a", "b"), before.share("s", "a", "b"), 0.01);
  }

  /** Long prompts, whose activations take the most bytes, leave although short ones could. */
  @Test
  public void longPromptsLeaveLast() {
    LocalityShares shares = plan(figures(150, 20), SOUND, LocalityShares.NONE);
    double share = shares.share("s", "a", "b");
    assertEquals(leaving(shares, 700), share, 0.01);
    assertTrue(leaving(shares, 100) > 1.5 * share && leaving(shares, 7_000) < 0.3 * share);
  }

  private static double leaving(LocalityShares shares, int tokens) {
    return IntStream.range(0, 1_000)
            .filter(i -> shares.draw("s", "a", tokens, 700, i / 1_000.0).orElseThrow().equals("b"))
            .count()
        / 1_000.0;
  }
}
