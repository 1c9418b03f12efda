package org.clementinesail.fakes;

import io.undertow.Undertow;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Starts one stand-in, an engine or a shop, from {@code key=value} arguments.
 *
 * <pre>{@code
 * engine name=e1 port=9001 from=0 to=8 layers=24 model=sail-lm vms=http://127.0.0.1:8201
 * }</pre>
 */
public final class FakesMain {
  private FakesMain() {}

  /**
   * Runs a stand-in until the process is stopped; it then tells a VM that it leaves, and closes its
   * port.
   *
   * @param args {@code engine} or {@code shop}, then options; missing options have defaults, and
   *     any first argument other than {@code engine} starts a shop
   * @throws NumberFormatException if a numeric option is not a whole number
   */
  public static void main(String[] args) {
    Map<String, String> options = options(args);
    List<String> vms = Arrays.asList(options.getOrDefault("vms", "").split(","));
    if (args.length > 0 && args[0].equals("engine")) {
      FakeEngine engine = new FakeEngine(engineConfig(options, vms));
      addShutdownHook(engine.start(), engine::leave);
    } else {
      FakeShop shop = new FakeShop(shopConfig(options, vms));
      addShutdownHook(shop.start(), shop::leave);
    }
  }

  private static FakeEngine.Config engineConfig(Map<String, String> options, List<String> vms) {
    return new FakeEngine.Config(
        options.getOrDefault("name", "engine"),
        number(options, "port", 9_000),
        number(options, "announced-port", number(options, "port", 9_000)),
        options.getOrDefault("dc", "cardiff-a"),
        options.getOrDefault("model", "sail-lm"),
        number(options, "from", 0),
        number(options, "to", 8),
        number(options, "layers", 8),
        options.getOrDefault("accelerator", "kind-a"),
        number(options, "step-ms", 2),
        vms);
  }

  private static FakeShop.Config shopConfig(Map<String, String> options, List<String> vms) {
    return new FakeShop.Config(
        options.getOrDefault("name", "shop"),
        number(options, "port", 9_100),
        number(options, "announced-port", number(options, "port", 9_100)),
        options.getOrDefault("dc", "cardiff-a"),
        options.getOrDefault("service", "shop-app"),
        number(options, "call-ms", 5),
        vms);
  }

  private static Map<String, String> options(String[] args) {
    Map<String, String> options = new HashMap<>();
    for (String arg : args) {
      int equals = arg.indexOf('=');
      if (equals > 0) {
        options.put(arg.substring(0, equals), arg.substring(equals + 1));
      }
    }
    return options;
  }

  private static int number(Map<String, String> options, String key, int defaultValue) {
    String value = options.get(key);
    return value == null ? defaultValue : Integer.parseInt(value);
  }

  private static void addShutdownHook(Undertow server, Runnable leave) {
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  leave.run();
                  server.stop();
                }));
  }
}
