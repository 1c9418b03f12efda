package org.clementinesail.core.locality;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Shares of the demand of each data centre that other data centres serve. Immutable. */
public final class LocalityShares {
  /** No shares are known for any service. */
  public static final LocalityShares NONE = new LocalityShares(Map.of());

  private final Map<String, Map<String, Map<String, Double>>> rows;

  /**
   * Creates shares.
   *
   * @param rows by service and sending data centre, the shares that leave by receiving data centre;
   *     a sending data centre with an empty map keeps all of its demand
   */
  LocalityShares(Map<String, Map<String, Map<String, Double>>> rows) {
    Map<String, Map<String, Map<String, Double>>> copy = new HashMap<>();
    rows.forEach(
        (service, byFrom) -> {
          Map<String, Map<String, Double>> copies = new HashMap<>();
          // Sorted, so that a draw with the same random number has the same result on all VMs.
          byFrom.forEach((from, row) -> copies.put(from, new TreeMap<>(row)));
          copy.put(service, copies);
        });
    this.rows = copy;
  }

  /**
   * Returns the share of a data centre's demand that another one serves, from 0 to 1; 0 if none is
   * known.
   *
   * @param service name of the service
   * @param from data centre of the VMs that receive the requests
   * @param to data centre of the targets; if it equals {@code from}, the share that stays
   */
  public double share(String service, String from, String to) {
    if (!isKnown(service, from)) {
      return 0;
    }
    Map<String, Double> row = row(service, from);
    return from.equals(to) ? 1 - total(row) : row.getOrDefault(to, 0.0);
  }

  /**
   * Returns the shares of a data centre's demand that leave it, by receiving data centre.
   *
   * @param service name of the service
   * @param from data centre of the VMs that receive the requests
   */
  public Map<String, Double> shares(String service, String from) {
    return Map.copyOf(row(service, from));
  }

  /**
   * Returns whether shares are known; if not, the constant penalties of routing apply.
   *
   * @param service name of the service
   * @param from data centre of the VMs that receive the requests
   */
  public boolean isKnown(String service, String from) {
    return rows.getOrDefault(service, Map.of()).containsKey(from);
  }

  /**
   * Draws the data centre that serves a request; empty if no shares are known.
   *
   * <p>Prompts that are long for their service leave last, as their activations take the most
   * bytes. A prompt of the mean length leaves with the probability of the share.
   *
   * @param service name of the service
   * @param from data centre of the VM that received the request
   * @param tokens prompt tokens of the request; 0 if it has none
   * @param meanTokens mean prompt tokens of the service; 0 if it has none
   * @param fraction random number from 0 (inclusive) to 1 (exclusive)
   */
  public Optional<String> draw(
      String service, String from, double tokens, double meanTokens, double fraction) {
    if (!isKnown(service, from)) {
      return Optional.empty();
    }
    Map<String, Double> row = row(service, from);
    double total = total(row);
    double length = meanTokens > 0 && tokens > 0 ? tokens / (tokens + meanTokens) : 0.5;
    double leaving = total <= 0.5 ? 2 * total * (1 - length) : 1 - 2 * (1 - total) * length;
    if (fraction >= leaving) {
      return Optional.of(from);
    }
    double remaining = fraction / leaving * total;
    String last = from;
    for (Map.Entry<String, Double> entry : row.entrySet()) {
      remaining -= entry.getValue();
      last = entry.getKey();
      if (remaining < 0) {
        break;
      }
    }
    return Optional.of(last);
  }

  private Map<String, Double> row(String service, String from) {
    return rows.getOrDefault(service, Map.of()).getOrDefault(from, Map.of());
  }

  private static double total(Map<String, Double> row) {
    return Math.min(1, row.values().stream().mapToDouble(Double::doubleValue).sum());
  }
}
