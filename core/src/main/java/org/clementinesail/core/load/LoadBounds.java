package org.clementinesail.core.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Leaves out values of a message that no VM can have measured, such as those of a faulty build, and
 * limits the number of entries.
 */
public final class LoadBounds {
  /** Far above the requests that one process can hold with its descriptors. */
  static final int MAX_REQUESTS = 1_000_000;

  /** Far above what a VM can receive in a second. */
  static final double MAX_DEMAND = 10_000_000;

  /** Far above the number of ranks that a configuration tells apart. */
  static final int MAX_RANK = 1_000;

  /** Bounds a message, also if each of its values is valid: about 100 KB. */
  static final int MAX_ENTRIES = 10_000;

  /** Enough for the log; further values are left out without being listed. */
  private static final int MAX_LISTED = 8;

  private final List<Rejected> rejected = new ArrayList<>();

  /**
   * A value that has been left out.
   *
   * @param field name of the field
   * @param value the value
   */
  public record Rejected(String field, String value) {}

  /**
   * Returns the valid part of a load.
   *
   * @param counts load as received
   */
  public LoadCounts check(LoadCounts counts) {
    return new LoadCounts(
        filter("in_progress", counts.inProgress(), LoadBounds::isCount),
        filterRanks(filter("waiting", counts.waiting(), LoadBounds::isCount)),
        filter("demand", counts.demand(), rate -> rate >= 0 && rate <= MAX_DEMAND));
  }

  /** Returns the values that have been left out, the first ones if there are many. */
  public List<Rejected> rejected() {
    return List.copyOf(rejected);
  }

  private static boolean isCount(int count) {
    return count >= 0 && count <= MAX_REQUESTS;
  }

  private Map<FleetLoad.Waiting, Integer> filterRanks(Map<FleetLoad.Waiting, Integer> waiting) {
    Map<FleetLoad.Waiting, Integer> valid = new HashMap<>();
    waiting.forEach(
        (key, count) -> {
          if (key.rank() >= 0 && key.rank() <= MAX_RANK) {
            valid.put(key, count);
          } else {
            reject("rank", key.rank());
          }
        });
    return valid;
  }

  private <K, V> Map<K, V> filter(String field, Map<K, V> values, Predicate<V> valid) {
    Map<K, V> result = new HashMap<>();
    values.forEach(
        (key, value) -> {
          if (!valid.test(value)) {
            reject(field, value);
          } else if (result.size() < MAX_ENTRIES) {
            result.put(key, value);
          }
        });
    if (values.size() > MAX_ENTRIES) {
      reject(field + " entries", values.size());
    }
    return result;
  }

  private void reject(String field, Object value) {
    if (rejected.size() < MAX_LISTED) {
      rejected.add(new Rejected(field, String.valueOf(value)));
    }
  }
}
