package org.clementinesail.core.locality;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinesail.core.locality.SwingSimulation.Scenario;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Compares the shares with the constant rule under demand that swings in opposite phase. */
public class LocalityFleetTest {
  private static final double SECONDS = 60;

  /** No part of the callers may be served less often than another by over 5 in 100. */
  private static final double MAX_GAP = 0.05;

  /** Only the excess leaves; a quarter more allows for shares that follow demand with a delay. */
  private static final double MAX_BYTES_FACTOR = 1.25;

  /** Scenarios with enough capacity in sum, but not in each data centre at all times. */
  @DataProvider
  public Object[][] scenarios() {
    return new Object[][] {
      {"1 : 2 : 2", new Scenario(List.of(1, 2, 2), 0.6, 0)},
      {"20 : 11 : 13", new Scenario(List.of(20, 11, 13), 0.8, 0)},
      {"servers of a data centre gone", new Scenario(List.of(0, 11, 13), 0.8, 0)},
      {"link at a tenth", new Scenario(List.of(11, 20, 13), 0.8, 400_000)},
    };
  }

  /** Demand in excess of the own data centre is lost while others have free servers. */
  @Test(dataProvider = "scenarios")
  public void servesMoreInTimeThanTheConstantRule(String name, Scenario scenario) {
    SwingSimulation constant = new SwingSimulation(scenario, false).run(SECONDS);
    SwingSimulation shares = new SwingSimulation(scenario, true).run(SECONDS);
    String results = name + ": constant rule " + constant + "; shares " + shares;
    System.out.println(results);
    assertTrue(shares.worst() >= constant.worst(), results);
    double gap = Math.max(constant.best() - constant.worst(), MAX_GAP);
    assertTrue(shares.best() - shares.worst() <= gap, results);
    double neededBytes = Math.max(shares.excessBytes, constant.crossedBytes);
    assertTrue(
        shares.crossedBytes <= MAX_BYTES_FACTOR * neededBytes, results + ", needed " + neededBytes);
  }
}
