package org.clementinesail.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many of the recent requests of a rank, and of each workspace, route and subject within it,
 * were offered and have got a target.
 *
 * <p>Those with few requests served come first, so that a large one does not take all. One that is
 * served much less often than the rank precedes them, so that a large one is not starved either: a
 * quarter of the mean is the least that any may get, and ranks may differ too.
 */
final class Shares {
  /** Long enough to see some requests of each small workspace on one of many VMs. */
  private static final double WINDOW_NANOS = 10_000_000_000L;

  /** Least part of the rank's served part; with that of ranks, 0.4, it gives over a quarter. */
  private static final double LEAST_OF_RANK = 0.7;

  /** Limits the memory for subjects, of which callers can name any number. */
  private static final int MAX_KEYS = 2_000;

  /** Keys with less than this many recent requests are dropped first. */
  private static final double NEGLIGIBLE = 0.05;

  private final Part all = new Part();
  private final Map<String, Part> parts = new HashMap<>();

  private static final class Part {
    private final DecayingCount offered = new DecayingCount(WINDOW_NANOS);
    private final DecayingCount served = new DecayingCount(WINDOW_NANOS);

    /** Returns the part of the requests that was served; 1 if there were none. */
    double servedPart(long now) {
      double requests = offered.value(now);
      return requests == 0 ? 1 : served.value(now) / requests;
    }
  }

  void recordOffered(WaitingRequest request, long now) {
    all.offered.add(1, now);
    for (String key : keys(request)) {
      Part part = parts.get(key);
      if (part == null) {
        part = create(key, now);
      }
      part.offered.add(1, now);
    }
  }

  private Part create(String key, long now) {
    if (parts.size() >= MAX_KEYS) {
      parts.values().removeIf(part -> part.offered.value(now) < NEGLIGIBLE);
    }
    Part part = new Part();
    if (parts.size() < MAX_KEYS) {
      parts.put(key, part);
    }
    return part;
  }

  /**
   * Records that a request got a target, or takes that back.
   *
   * @param amount 1 for a request that got a target, -1 for one that is refused by it
   */
  void recordServed(WaitingRequest request, int amount, long now) {
    all.served.add(amount, now);
    for (String key : keys(request)) {
      Part part = parts.get(key);
      if (part != null) {
        part.served.add(amount, now);
      }
    }
  }

  double offered(long now) {
    return all.offered.value(now);
  }

  double served(long now) {
    return all.served.value(now);
  }

  /**
   * Returns the place of a request in its rank; lower ones come first. It is negative for a request
   * of a workspace, route or subject that is served much less often than the rank.
   */
  double place(WaitingRequest request, long now) {
    double rankPart = all.servedPart(now);
    double served = Math.max(1, all.served.value(now));
    double least = Double.MAX_VALUE;
    double share = 0;
    for (String key : keys(request)) {
      Part part = parts.get(key);
      if (part != null) {
        least = Math.min(least, part.servedPart(now));
        share += part.served.value(now) / served;
      }
    }
    return least < LEAST_OF_RANK * rankPart ? least / rankPart - 1 : share;
  }

  private static List<String> keys(WaitingRequest request) {
    String workspace = "w" + request.workspace();
    String route = "r" + request.route();
    return request.subject().isEmpty()
        ? List.of(workspace, route)
        : List.of(workspace, route, "s" + request.subject());
  }
}
