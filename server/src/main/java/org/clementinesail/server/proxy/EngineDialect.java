package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.placement.PlacementController.Order;

/** Parses reports of engines and builds the requests that fetch them and that send orders. */
public interface EngineDialect {

  /**
   * A request that waits for another engine.
   *
   * @param requestId id of the request
   * @param address IP address and port of the engine that it waits for
   */
  record Stall(String requestId, String address) {}

  /**
   * A report with the requests that wait for other engines.
   *
   * @param report state and load of the engine
   * @param stalls requests that wait; may be empty
   */
  record DetailedReport(EngineReport report, List<Stall> stalls) {}

  /**
   * Returns the HTTP request that fetches a report.
   *
   * @param address IP address and port of the engine
   */
  FullHttpRequest reportRequest(String address);

  /**
   * Parses a report.
   *
   * @param id id of the target
   * @param body body of the response
   * @param now current time in nanoseconds
   * @throws MalformedMessageException if the body is malformed
   */
  DetailedReport parseReport(String id, byte[] body, long now);

  /**
   * Returns the HTTP request that sends an order.
   *
   * @param order the order, with the address of the engine
   */
  FullHttpRequest orderRequest(Order order);
}
