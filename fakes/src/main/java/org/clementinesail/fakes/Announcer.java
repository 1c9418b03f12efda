package org.clementinesail.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Announces a stand-in to one VM at a time, and renews its lease of 3 seconds every second. */
final class Announcer {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long LEASE_MS = 3_000;
  private static final long RENEW_INTERVAL_MS = 1_000;

  private final List<String> vms;
  private final ObjectNode description;
  private final Consumer<ObjectNode> addLoad;
  private final AtomicLong sequence = new AtomicLong();
  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(Duration.ofMillis(500)).build();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "announcer");
            thread.setDaemon(true);
            return thread;
          });
  private int currentVmIndex;

  /**
   * Creates an announcer that is not started yet.
   *
   * @param vms base URLs of the VMs' target API, tried in turn
   * @param description fields that all announcements share; version and incarnation are added
   * @param addLoad adds the current load to an announcement
   */
  Announcer(List<String> vms, ObjectNode description, Consumer<ObjectNode> addLoad) {
    this.vms = List.copyOf(vms);
    this.description = description.put("version", 1).put("incarnation", System.currentTimeMillis());
    this.addLoad = addLoad;
  }

  void start() {
    var unused =
        timer.scheduleWithFixedDelay(this::announce, 0, RENEW_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  void leave() {
    timer.shutdownNow();
    post("/v1/targets/leave", message());
  }

  private void announce() {
    ObjectNode body = message();
    addLoad.accept(body);
    post("/v1/targets/announce", body);
  }

  private ObjectNode message() {
    return description
        .deepCopy()
        .put("sequence", sequence.incrementAndGet())
        .put("lease_ms", LEASE_MS);
  }

  /** Posts to the VMs in turn, from the one that last accepted, until one accepts. */
  private void post(String path, ObjectNode body) {
    for (int i = 0; i < vms.size(); i++) {
      String vm = vms.get((currentVmIndex + i) % vms.size());
      Request request =
          new Request.Builder()
              .url(vm + path)
              .post(RequestBody.create(body.toString(), JSON))
              .build();
      try (Response response = client.newCall(request).execute()) {
        if (response.isSuccessful()) {
          currentVmIndex = (currentVmIndex + i) % vms.size();
          return;
        }
      } catch (IOException e) {
        // Try the next VM.
      }
    }
  }
}
