package org.clementinesail.core.ratelimits;

import java.util.HashMap;
import java.util.Map;

/** Measures the rate of requests by service, as a moving average. Not thread-safe. */
public final class DemandMeter {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Time constant of the average in seconds. */
  private static final double AVERAGING_SECONDS = 1;

  /** Rates below this, in requests per second, count as none. */
  private static final double MIN_RATE = 0.01;

  private record Rate(double perSecond, long at) {
    double decayed(long now) {
      return perSecond * Math.exp((at - now) / NANOS_PER_SECOND / AVERAGING_SECONDS);
    }
  }

  private final Map<String, Rate> rates = new HashMap<>();

  /**
   * Records a request.
   *
   * @param service service that the request is for
   * @param now current time in nanoseconds of the monotonic clock
   */
  public void record(String service, long now) {
    rates.put(service, new Rate(perSecond(service, now) + 1 / AVERAGING_SECONDS, now));
  }

  /**
   * Returns the requests per second for a service; 0 if there were none lately.
   *
   * @param service name of the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  public double perSecond(String service, long now) {
    Rate rate = rates.get(service);
    return rate == null ? 0 : rate.decayed(now);
  }

  /**
   * Returns the services with requests, and their requests per second.
   *
   * @param now current time in nanoseconds of the monotonic clock
   */
  public Map<String, Double> rates(long now) {
    rates.values().removeIf(rate -> rate.decayed(now) < MIN_RATE);
    Map<String, Double> current = new HashMap<>();
    rates.forEach((service, rate) -> current.put(service, rate.decayed(now)));
    return current;
  }
}
