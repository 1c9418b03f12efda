package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.placement.PlacementController.Order;
import org.clementinesail.core.targets.LayerRange;

/** Test implementation whose reports show a reachable engine without stalled requests. */
final class IdleEngineDialect implements EngineDialect {
  /** HTTP response of an engine; its body is not parsed. */
  static final String REPORT_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  @Override
  public FullHttpRequest reportRequest(String address) {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/report");
  }

  @Override
  public DetailedReport parseReport(String id, byte[] body, long now) {
    LayerRange layers = new LayerRange(0, 40);
    return new DetailedReport(
        new EngineReport(id, true, 0, 0, 0, 4_000_000, 1, false, 0, layers, now), List.of());
  }

  @Override
  public FullHttpRequest orderRequest(Order order) {
    return reportRequest(order.address());
  }
}
