package org.clementinesail.core.desired;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests checks and lookups of a desired state. */
public class DesiredStateTest {
  private static final Service SHOP = new Service("shop", 100, null);

  private static Route route(String name, String prefix, long timeout, double weight) {
    return new Route(
        name,
        "Shop.example",
        prefix,
        Route.Kind.IDEMPOTENT,
        timeout,
        100,
        1,
        List.of(new Route.Split("shop", weight)),
        2,
        false,
        false,
        0);
  }

  private static DesiredState.CheckResult check(List<Route> routes, List<Workspace> workspaces) {
    return DesiredState.check(3, routes, List.of(SHOP), workspaces, RequestLimits.DEFAULT);
  }

  private static Workspace workspace(String name, String... keys) {
    return new Workspace(name, List.of(keys), -1);
  }

  /** Tests states that are refused. */
  public static class InvalidTest {
    /** Rows of a part of the reason, routes and workspaces. */
    @DataProvider
    public Object[][] invalid() {
      Route unknown =
          new Route(
              "r",
              "h",
              "/",
              Route.Kind.STREAM,
              10,
              10,
              1,
              List.of(new Route.Split("nowhere", 1)),
              1,
              false,
              false,
              0);
      return new Object[][] {
        {"unknown service", List.of(unknown), List.of()},
        {"share host and prefix", twoRoutes("/a/"), List.of()},
        {"add up to 0", List.of(route("a", "/a/", 5, 0)), List.of()},
        {"timeout of 0", List.of(route("a", "/a/", 0, 1)), List.of()},
        {"share a key", List.of(), List.of(workspace("x", "k"), workspace("y", "k"))},
      };
    }

    private static List<Route> twoRoutes(String prefix) {
      return List.of(route("a", prefix, 5, 1), route("b", prefix, 5, 1));
    }

    /** The reason contains the problem. */
    @Test(dataProvider = "invalid")
    public void invalidStateIsRefusedWithReason(
        String reason, List<Route> routes, List<Workspace> workspaces) {
      DesiredState.CheckResult checked = check(routes, workspaces);
      assertTrue(checked instanceof DesiredState.Invalid, "accepted: " + reason);
      assertTrue(((DesiredState.Invalid) checked).reason().contains(reason), checked.toString());
    }
  }

  /** Tests lookups in a valid state. */
  public static class LookUpTest {
    private final DesiredState state =
        ((DesiredState.Valid)
                check(
                    List.of(route("short", "/a/", 5, 1), route("long", "/a/b/", 5, 1)),
                    List.of(workspace("x", "k1", "k2"))))
            .state();

    /** The longest prefix wins; case and port of the host are ignored. */
    @Test
    public void longestMatchingPrefixWins() {
      assertEquals(state.route("shop.EXAMPLE:80", "/a/b/c").map(Route::name), Optional.of("long"));
      assertEquals(state.route("shop.example", "/a/c").map(Route::name), Optional.of("short"));
      assertTrue(state.route("shop.example", "/c").isEmpty());
      assertTrue(state.route("other", "/a/").isEmpty());
    }

    /** A key other than a workspace's first finds it too; an unknown key finds none. */
    @Test
    public void findsWorkspaceByKey() {
      assertEquals(state.workspaceByKey("k2").map(Workspace::name), Optional.of("x"));
      assertTrue(state.workspaceByKey("k3").isEmpty());
    }
  }
}
