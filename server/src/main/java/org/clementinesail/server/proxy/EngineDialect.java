package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.placement.PlacementController.Order;

/** Formats of reports from engines and orders to them. */
public interface EngineDialect {

  /**
   * An engine that others wait for.
   *
   * @param requestId request that waits
   * @param address IP number and port of the engine
   */
  record Stall(String requestId, String address) {}

  /**
   * A report with the requests that are stuck behind other engines.
   *
   * @param report the report
   * @param stalls requests that are stuck
   */
  record DetailedReport(EngineReport report, List<Stall> stalls) {}

  /**
   * Returns the request for a report.
   *
   * @param address IP number and port of the engine
   */
  FullHttpRequest reportRequest(String address);

  /**
   * Reads a report.
   *
   * @param id identity of the target
   * @param body body of the answer
   * @param now present time in nanoseconds
   * @throws MalformedMessageException if it cannot be read
   */
  DetailedReport parseReport(String id, byte[] body, long now);

  /**
   * Returns the request that gives an order.
   *
   * @param order the order
   */
  FullHttpRequest orderRequest(Order order);
}
