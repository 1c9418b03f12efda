package org.clementinesail.it;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Runs packaged processes on this machine: VMs that connect through relays, engines and shops. */
final class TestCluster {
  static final int LAYERS = 24;
  static final ObjectMapper MAPPER = new ObjectMapper();
  static final String RULES =
      """
      route workspace=* model=sail-lm      # Gwen: guides
      route workspace=* service=shop-app   # Tomos: orders
      call service=shop-app path=/orders repeat=never   # Tomos: bills twice
      call service=shop-app path=/stock repeat=safe     # Tomos: may be repeated
      """;

  private static final String OPERATOR_TOKEN = "operator-token-of-tests";
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);
  private static final MediaType JSON = MediaType.get("application/json");

  /** An HTTP response; {@code outcome} is its Clementinesail-Outcome header, or empty. */
  record Answer(int status, String outcome, String body) {
    JsonNode json() {
      try {
        return MAPPER.readTree(body);
      } catch (IOException e) {
        throw new AssertionError(body, e);
      }
    }
  }

  /** Ports of one VM, one per API. */
  private record Ports(int callers, int targets, int operators, int peers) {}

  final Path folder;
  final Map<String, Program> programs = new LinkedHashMap<>();
  final OkHttpClient http =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          // Shorter than the VMs' 2 s idle limit, so no request uses a connection that a VM closes.
          .connectionPool(new ConnectionPool(5, 1, TimeUnit.SECONDS))
          .readTimeout(Duration.ofSeconds(60))
          .build();
  private final Map<String, Ports> ports = new LinkedHashMap<>();

  /** Ports by program name, by {@code relay NAME}, or by {@code VM>VM} for peer connections. */
  private final Map<String, Integer> portsByName = new LinkedHashMap<>();

  private final Map<String, Relay> relays = new LinkedHashMap<>();

  TestCluster(int vms) throws Exception {
    this.folder = Files.createTempDirectory("site");
    Files.writeString(folder.resolve("peer.secret"), "peer-secret-of-tests\n");
    Files.writeString(folder.resolve("operator.token"), OPERATOR_TOKEN + "\n");
    for (int i = 1; i <= vms; i++) {
      ports.put(
          "vm-" + i,
          new Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next()));
    }
    for (String from : ports.keySet()) {
      for (String to : ports.keySet()) {
        if (!from.equals(to)) {
          int port = FreePorts.next();
          relays.put(from + ">" + to, new Relay(port, ports.get(to).peers()));
          portsByName.put(from + ">" + to, port);
        }
      }
    }
    for (String vm : ports.keySet()) {
      Files.createDirectory(folder.resolve("data-" + vm));
      Files.writeString(folder.resolve(vm + ".yaml"), settings(vm));
      startVm(vm);
    }
  }

  private String settings(String vm) {
    Ports own = ports.get(vm);
    StringBuilder text = new StringBuilder();
    text.append("vm: ").append(vm).append("\ndata-centre: cardiff-a\nlisten:\n");
    text.append("  callers: 127.0.0.1:").append(own.callers()).append('\n');
    text.append("  targets: 127.0.0.1:").append(own.targets()).append('\n');
    text.append("  operators: 127.0.0.1:").append(own.operators()).append('\n');
    text.append("  peers: 127.0.0.1:").append(own.peers()).append('\n');
    text.append("data-folder: data-").append(vm).append('\n');
    text.append("peer-secret-file: peer.secret\noperator-token-file: operator.token\n");
    text.append("deadlines:\n  request: 40s\n  service-call: 8s\n  caller-idle: 2s\n");
    text.append("limits:\n  body: 64KiB\n");
    text.append("peers:\n");
    for (String other : ports.keySet()) {
      if (!other.equals(vm)) {
        text.append("  - vm: ").append(other).append("\n    address: 127.0.0.1:");
        text.append(portsByName.get(vm + ">" + other)).append("\n    replica: true\n");
      }
    }
    return text.toString();
  }

  /** Starts a VM that has no replica and that the settings of the other VMs do not list. */
  String startJoiningVm() throws IOException {
    String vm = "vm-" + (ports.size() + 1);
    ports.put(
        vm, new Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next()));
    for (String other : vms()) {
      portsByName.put(vm + ">" + other, ports.get(other).peers());
    }
    String settings = settings(vm).replace("data-folder: data-" + vm + "\n", "");
    Files.writeString(folder.resolve(vm + ".yaml"), settings);
    startVm(vm);
    return vm;
  }

  void startVm(String vm) throws IOException {
    programs.put(
        vm,
        Program.start(vm, "server", folder, "--settings", folder.resolve(vm + ".yaml").toString()));
  }

  Program startEngine(String name, int from, int to, String... moreOptions) throws IOException {
    List<String> args =
        new ArrayList<>(
            List.of(
                "engine",
                "name=" + name,
                "port=" + port(name),
                "from=" + from,
                "to=" + to,
                "layers=" + LAYERS,
                "vms=" + targetApiUrls()));
    args.addAll(List.of(moreOptions));
    return add(Program.start(name, "fakes", folder, args.toArray(new String[0])));
  }

  /** Starts a relay to a target; start the target with {@link #relayPortOption}. */
  Relay relayTo(String target) throws IOException {
    int port = FreePorts.next();
    Relay relay = new Relay(port, port(target));
    relays.put("to " + target, relay);
    portsByName.put("relay " + target, port);
    return relay;
  }

  /** Returns the argument that makes a target announce the port of its relay. */
  String relayPortOption(String target) {
    return "announced-port=" + portsByName.get("relay " + target);
  }

  Program startShop(String name, int callMillis, String... moreOptions) throws IOException {
    List<String> args =
        new ArrayList<>(
            List.of(
                "shop",
                "name=" + name,
                "port=" + port(name),
                "call-ms=" + callMillis,
                "vms=" + targetApiUrls()));
    args.addAll(List.of(moreOptions));
    return add(Program.start(name, "fakes", folder, args.toArray(new String[0])));
  }

  private Program add(Program program) {
    programs.put(program.name(), program);
    return program;
  }

  int port(String target) throws IOException {
    Integer known = portsByName.get(target);
    if (known != null) {
      return known;
    }
    int port = FreePorts.next();
    portsByName.put(target, port);
    return port;
  }

  private String targetApiUrls() {
    return String.join(
        ",", ports.values().stream().map(p -> "http://127.0.0.1:" + p.targets()).toList());
  }

  List<String> vms() {
    return List.copyOf(ports.keySet());
  }

  int callerPort(String vm) {
    return ports.get(vm).callers();
  }

  int operatorPort(String vm) {
    return ports.get(vm).operators();
  }

  int targetPort(String vm) {
    return ports.get(vm).targets();
  }

  /** Drops all bytes between a VM and the others in both directions; connections stay open. */
  void isolate(String vm) {
    relays.forEach(
        (name, relay) -> {
          if (name.startsWith(vm + ">") || name.endsWith(">" + vm)) {
            relay.stallAll();
          }
        });
  }

  /** Ends all isolation; connections stalled by {@link #stallOpenPeerConnections} stay so. */
  void reconnectAll() {
    relays.values().forEach(Relay::resume);
  }

  void stallOpenPeerConnections() {
    relays.values().forEach(Relay::stallOpenConnections);
  }

  void deleteData(String vm) throws IOException {
    try (Stream<Path> files = Files.list(folder.resolve("data-" + vm))) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  Answer submit(String vm, String text, String operator) throws IOException {
    return send(
        new Request.Builder()
            .url("http://127.0.0.1:" + operatorPort(vm) + "/v1/rules")
            .header("Authorization", "Bearer " + OPERATOR_TOKEN)
            .header("X-Operator", operator)
            .post(RequestBody.create(text, MediaType.get("text/plain"))));
  }

  /** Submits {@link #RULES} and more lines as a rule file until a VM accepts it. */
  void submitRules(long number, String moreRules) {
    String text = "number " + number + " # tests\n" + RULES + moreRules;
    await(
        "file " + number + " is accepted",
        () -> {
          for (String vm : vms()) {
            try {
              if (submit(vm, text, "tests").status() == 200) {
                return true;
              }
            } catch (IOException e) {
              // Try the next VM.
            }
          }
          return false;
        });
  }

  JsonNode status(String vm) throws IOException {
    Answer answer =
        send(
            new Request.Builder()
                .url("http://127.0.0.1:" + operatorPort(vm) + "/v1/status")
                .header("Authorization", "Bearer " + OPERATOR_TOKEN));
    return answer.json();
  }

  String leader() {
    for (String vm : vms()) {
      try {
        String leader = status(vm).path("control").path("leader").asText();
        if (!leader.isEmpty()) {
          return leader;
        }
      } catch (IOException e) {
        // Ask the next VM.
      }
    }
    return "";
  }

  String awaitLeader() {
    await("a leader", () -> !leader().isEmpty());
    return leader();
  }

  boolean ready(String vm) {
    try {
      Request.Builder request =
          new Request.Builder().url("http://127.0.0.1:" + callerPort(vm) + "/readyz");
      return send(request).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady() {
    for (String vm : vms()) {
      if (programs.get(vm).isRunning()) {
        await(vm + " is ready", () -> ready(vm));
      }
    }
  }

  /** Waits until a VM lists exactly this number of targets as alive. */
  void awaitTargets(String vm, int count) {
    await(vm + " knows " + count + " targets", () -> aliveTargets(vm) == count);
  }

  int aliveTargets(String vm) {
    try {
      int alive = 0;
      for (JsonNode target : status(vm).path("targets")) {
        if (target.path("state").asText().equals("alive")) {
          alive++;
        }
      }
      return alive;
    } catch (IOException e) {
      return -1;
    }
  }

  Answer placeOrder(String vm, String key, String body) throws IOException {
    Request.Builder request =
        new Request.Builder()
            .url("http://127.0.0.1:" + callerPort(vm) + "/services/shop-app/orders")
            .header("X-Workspace", "workshop")
            .post(RequestBody.create(body, JSON));
    if (!key.isEmpty()) {
      request.header("Idempotency-Key", key);
    }
    return send(request);
  }

  /** Returns how often a shop ran an order with this body, by the shop's own records. */
  int runCount(String shop, String body) throws IOException {
    Answer answer =
        send(new Request.Builder().url("http://127.0.0.1:" + port(shop) + "/fake/orders"));
    int count = 0;
    for (JsonNode order : answer.json().path("orders")) {
      if (order.path("body").asText().equals(body)) {
        count++;
      }
    }
    return count;
  }

  Answer send(Request.Builder request) throws IOException {
    try (Response response = http.newCall(request.build()).execute()) {
      String outcome = response.header("Clementinesail-Outcome", "");
      return new Answer(response.code(), outcome, response.body().string());
    }
  }

  static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new AssertionError("not within " + AWAIT_TIMEOUT.toSeconds() + " s: " + what);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(25);
      } catch (InterruptedException e) {
        throw new AssertionError(e);
      }
    }
  }

  void close() throws Exception {
    for (Program program : programs.values()) {
      program.kill();
    }
    for (Relay relay : relays.values()) {
      relay.close();
    }
    if (System.getenv("KEEP_SITE") != null) {
      System.out.println("kept " + folder);
      return;
    }
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }
}
