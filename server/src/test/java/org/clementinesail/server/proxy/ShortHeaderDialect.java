package org.clementinesail.server.proxy;

import com.google.common.base.Splitter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.clementinesail.core.placement.PlacementController.Order;
import org.clementinesail.core.ratelimits.RateStatement;
import org.jspecify.annotations.Nullable;

/** Test implementation with short header names such as "Id" and "After"; has no engines. */
class ShortHeaderDialect implements Dialect, EngineDialect {
  /** Header of a request that causes an exception when it is prepared for a target. */
  static final String ERROR = "Error";

  @Override
  public RequestMetadata readMetadata(HttpRequest request) {
    HttpHeaders headers = request.headers();
    return new RequestMetadata(
        headers.get("Id", ""),
        headers.get("Host", ""),
        Long.parseLong(headers.get("Timeout-Ms", "-1")),
        headers.get("Key"),
        0,
        0,
        0,
        Splitter.on(',').omitEmptyStrings().splitToList(headers.get("Parts", "")),
        headers.get("After"));
  }

  @Override
  public void prepareForTarget(HttpHeaders headers, ForwardingInfo forwarding) {
    if (headers.contains(ERROR)) {
      throw new IllegalStateException("the request has the header " + ERROR);
    }
    headers.remove("Key");
    headers.set("Timeout-Ms", forwarding.timeoutMillis());
    headers.set("Target", forwarding.targetId());
    headers.set("Rank", forwarding.rank());
    if (forwarding.workspace() != null) {
      headers.set("Workspace", forwarding.workspace());
    }
    if (forwarding.lastEventId() != null) {
      headers.set("After", forwarding.lastEventId());
    }
  }

  @Override
  public void prepareForPeer(
      HttpHeaders headers, long timeoutMillis, @Nullable String lastEventId) {
    headers.set("Timeout-Ms", timeoutMillis);
    if (lastEventId != null) {
      headers.set("After", lastEventId);
    }
  }

  @Override
  public void setRequestId(HttpHeaders headers, String requestId) {
    headers.set("Id", requestId);
  }

  @Override
  public boolean isRefusal(HttpResponse response) {
    return response.headers().contains("Not-Started");
  }

  @Override
  public boolean hasTargetProof(HttpResponse response) {
    return response.headers().contains("Proof");
  }

  @Override
  public Optional<String> requestId(HttpResponse response) {
    return Optional.ofNullable(response.headers().get("Id"));
  }

  @Override
  public Set<String> singularResponseHeaders() {
    return Set.of("id", "proof");
  }

  @Override
  public Optional<String> faultyAddress(HttpResponse response) {
    return Optional.empty();
  }

  @Override
  public boolean isLeaving(HttpResponse response) {
    return "1".equals(response.headers().get("Leaving"));
  }

  @Override
  public OptionalDouble deferralSeconds(HttpResponse response) {
    String value = response.headers().get(HttpHeaderNames.RETRY_AFTER, "").strip();
    boolean unavailable = response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    // Not every text that Java parses as a number is one here, such as NaN, 1e400 and 0x1p3.
    return unavailable && value.matches("[0-9]{1,9}(\\.[0-9]{1,9})?")
        ? OptionalDouble.of(Double.parseDouble(value))
        : OptionalDouble.empty();
  }

  @Override
  public RateStatement rateStatement(HttpResponse response) {
    String value = response.headers().get("Limit");
    return value == null
        ? new RateStatement.Unlimited()
        : new RateStatement.Limited(Double.parseDouble(value));
  }

  @Override
  public void setRetryAfter(HttpHeaders headers, double seconds) {
    headers.set("Retry-After", String.format(Locale.ROOT, "%.2f", seconds));
  }

  @Override
  public FullHttpRequest reportRequest(String address) {
    throw new UnsupportedOperationException("this dialect has no engines");
  }

  @Override
  public DetailedReport parseReport(String id, byte[] body, long now) {
    throw new UnsupportedOperationException("this dialect has no engines");
  }

  @Override
  public FullHttpRequest orderRequest(Order order) {
    throw new UnsupportedOperationException("this dialect has no engines");
  }
}
