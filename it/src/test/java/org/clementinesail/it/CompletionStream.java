package org.clementinesail.it;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

/** Sends a streamed completion request and reads its events on a separate thread. */
final class CompletionStream {
  private final Thread thread;
  private final StringBuilder text = new StringBuilder();
  private final List<Long> tokenNanos = new ArrayList<>();
  private volatile int status;
  private volatile boolean done;
  private volatile String error = "";

  CompletionStream(TestCluster cluster, String vm, String prompt, int tokens) {
    this.thread = new Thread(() -> read(cluster, vm, prompt, tokens), "completion-stream");
    thread.setDaemon(true);
    thread.start();
  }

  private void read(TestCluster cluster, String vm, String prompt, int tokens) {
    String body =
        TestCluster.MAPPER
            .createObjectNode()
            .put("model", "sail-lm")
            .put("prompt", prompt)
            .put("max_tokens", tokens)
            .put("stream", true)
            .toString();
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + cluster.callerPort(vm) + "/v1/completions")
            .header("X-Workspace", "guides")
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build();
    try (Response response = cluster.http.newCall(request).execute()) {
      status = response.code();
      BufferedSource source = response.body().source();
      while (true) {
        String line = source.readUtf8Line();
        if (line == null) {
          return;
        }
        readLine(line);
      }
    } catch (IOException e) {
      error = error.isEmpty() ? "connection: " + e.getMessage() : error;
    }
  }

  private void readLine(String line) throws IOException {
    if (line.equals("data: [DONE]")) {
      done = true;
    } else if (line.startsWith("data: ")) {
      JsonNode event = TestCluster.MAPPER.readTree(line.substring("data: ".length()));
      if (event.has("error")) {
        error = event.toString();
        return;
      }
      String token = event.path("choices").path(0).path("text").asText();
      if (!token.isEmpty()) {
        synchronized (tokenNanos) {
          tokenNanos.add(System.nanoTime());
          text.append(token);
        }
      }
    } else if (!line.isEmpty()) {
      error = line;
    }
  }

  /** Waits until the stream has this many tokens, or an error. */
  void awaitTokens(int count) {
    TestCluster.await(count + " tokens", () -> tokens() >= count || !error.isEmpty());
  }

  int tokens() {
    synchronized (tokenNanos) {
      return tokenNanos.size();
    }
  }

  /** Waits for the end and returns the text; fails unless status 200 and {@code [DONE]} arrived. */
  String awaitCompleteText() throws InterruptedException {
    awaitEnd();
    if (!done || status != 200) {
      throw new AssertionError(
          "incomplete stream: status " + status + ", " + error + ", text " + text);
    }
    return text.toString();
  }

  /** Waits for the end of the stream; fails after 60 s. */
  CompletionStream awaitEnd() throws InterruptedException {
    thread.join(TimeUnit.SECONDS.toMillis(60));
    if (thread.isAlive()) {
      throw new AssertionError("the stream has not ended after 60 s, " + tokens() + " tokens");
    }
    return this;
  }

  boolean done() {
    return done;
  }

  int status() {
    return status;
  }

  String error() {
    return error;
  }

  /** Returns the longest time between two tokens, in milliseconds. */
  long longestPauseMillis() {
    long longest = 0;
    synchronized (tokenNanos) {
      for (int i = 1; i < tokenNanos.size(); i++) {
        longest = Math.max(longest, tokenNanos.get(i) - tokenNanos.get(i - 1));
      }
    }
    return TimeUnit.NANOSECONDS.toMillis(longest);
  }
}
