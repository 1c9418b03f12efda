package org.clementinesail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/** HTTP client for the operator API; tries the given VMs in turn. */
final class OperatorClient {
  private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int HTTP_UNAVAILABLE = 503;

  /**
   * An HTTP response of a VM.
   *
   * @param status HTTP status code
   * @param body JSON body
   */
  record Answer(int status, JsonNode body) {}

  private final List<String> vms;
  private final String token;
  private final ObjectMapper mapper;
  private final OkHttpClient client =
      new OkHttpClient.Builder().connectTimeout(CONNECT_TIMEOUT).callTimeout(CALL_TIMEOUT).build();

  OperatorClient(List<String> vms, String token, ObjectMapper mapper) {
    this.vms = vms;
    this.token = token;
    this.mapper = mapper;
  }

  Answer submit(String text, String operator) throws IOException {
    return sendToFirstAvailable(
        new Request.Builder().header("X-Operator", operator).post(RequestBody.create(text, TEXT)),
        "/v1/rules");
  }

  Answer status() throws IOException {
    return sendToFirstAvailable(new Request.Builder().get(), "/v1/status");
  }

  /**
   * Returns the first response other than HTTP 503, or the last 503 if no VM sends another one.
   *
   * @throws IOException if no VM responds: the failure of the last VM
   */
  private Answer sendToFirstAvailable(Request.Builder request, String path) throws IOException {
    Answer unavailable = null;
    IOException failure = new IOException("no VM address is given");
    for (String vm : vms) {
      try {
        Answer answer = send(request, "http://" + vm + path);
        if (answer.status() != HTTP_UNAVAILABLE) {
          return answer;
        }
        unavailable = answer;
      } catch (IOException e) {
        failure = e;
      }
    }
    return answerOrThrow(unavailable, failure);
  }

  private Answer send(Request.Builder request, String url) throws IOException {
    Request complete = request.url(url).header("Authorization", "Bearer " + token).build();
    try (Response response = client.newCall(complete).execute()) {
      return new Answer(response.code(), mapper.readTree(response.body().bytes()));
    }
  }

  private static Answer answerOrThrow(@Nullable Answer unavailable, IOException failure)
      throws IOException {
    if (unavailable == null) {
      throw failure;
    }
    return unavailable;
  }
}
