package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.RequestLimits;
import org.clementinesail.core.desired.Route;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.load.FleetLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which targets are used beside statements of services that no desired state names. */
public class RoutingStateTest {
  private static final Service SHOP = new Service("s", 100, null);

  private RoutingState routing;

  /** Starts each test without targets and without a desired state. */
  @BeforeMethod
  public void start() {
    routing =
        new RoutingState(
            new RoutingState.Settings("a", TimeUnit.HOURS.toNanos(1), 0.2, 200), new Random(1));
  }

  private void applyDesiredState() {
    DesiredState.CheckResult checked =
        DesiredState.check(1, List.of(), List.of(SHOP), List.of(), RequestLimits.DEFAULT);
    routing.desiredState(((DesiredState.Valid) checked).state());
  }

  private void record(String id, String service, String address, long startedAt) {
    routing
        .fleet()
        .recordStatement(
            new TargetStatement(id, service, address, "a", 8, Phase.READY, "", null, startedAt, 1),
            0);
  }

  private String chosen() {
    RequestMetadata metadata = new RequestMetadata("", "", -1, null, 0, 0, 0, List.of(), null);
    return routing
        .chooseDestination(SHOP, metadata, Set.of(), 1)
        .map(d -> d.firstTarget().statement().address())
        .orElse("none");
  }

  /** Id and address of a statement that started later than the sound target. */
  @DataProvider
  public Object[][] oddStatements() {
    return new Object[][] {{"same id", "t", "h:2"}, {"same address", "odd", "h:1"}};
  }

  /** A target of an unnamed service displaces none that is in use. */
  @Test(dataProvider = "oddStatements")
  public void unnamedServiceDisplacesNoTarget(String name, String id, String address) {
    applyDesiredState();
    record("t", "s", "h:1", 10);
    record(id, "nowhere", address, 20);
    assertEquals(chosen(), "h:1", name);
  }

  /** A statement that came before the desired state gives way to one of a named service. */
  @Test(dataProvider = "oddStatements")
  public void unnamedServiceGivesWayLater(String name, String id, String address) {
    record(id, "nowhere", address, 20);
    applyDesiredState();
    record("t", "s", "h:1", 10);
    assertEquals(chosen(), "h:1", name);
  }

  /** The same address belongs to the target that started last if both services are named. */
  @Test
  public void laterTargetOfSameServiceOwnsItsAddress() {
    applyDesiredState();
    record("t", "s", "h:1", 10);
    record("u", "s", "h:1", 20);
    assertEquals(routing.fleet().ready("s", 1).get(0).statement().id(), "u");
  }

  /** Calls leave a data centre with free servers, or stay in a full one that others could help. */
  @Test
  public void onlyTheExcessOfFreshFiguresLeaves() {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            Route.Kind.IDEMPOTENT,
            1_000,
            200,
            0,
            List.of(new Route.Split("s", 1)),
            2,
            true,
            false,
            0);
    var checked =
        DesiredState.check(1, List.of(route), List.of(SHOP), List.of(), RequestLimits.DEFAULT);
    routing.desiredState(((DesiredState.Valid) checked).state());
    record("home", "s", "h:1", 10);
    routing
        .fleet()
        .recordStatement(
            new TargetStatement("away", "s", "h:2", "b", 8, Phase.READY, "", null, 10, 1), 0);
    assertEquals(sentAway(1, 3), 0);
    // Of 12 calls, 6.6 stay: 8 slots less a reserve of half their square root.
    assertEquals(sentAway(2, 12), 450, 60);
    assertEquals(sentAway(3, 3), 0);
    routing.fleetLoad(FleetLoad.NONE);
    assertEquals(chosen(), "h:1");
  }

  /** Returns how many of 1,000 calls leave while a number of calls is in progress at home. */
  private int sentAway(long second, int inProgress) {
    long now = TimeUnit.SECONDS.toNanos(second);
    routing.fleetLoad(new FleetLoad(now, 2, Map.of("home", inProgress), Map.of(), Map.of()));
    RequestMetadata metadata = new RequestMetadata("", "", -1, null, 0, 0, 0, List.of(), null);
    return (int)
        IntStream.range(0, 1_000)
            .mapToObj(i -> routing.chooseDestination(SHOP, metadata, Set.of(), now))
            .filter(d -> d.orElseThrow().firstTarget().statement().id().equals("away"))
            .count();
  }
}
