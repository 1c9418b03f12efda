package org.clementinesail.core.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Load of one VM or of several together, as it is sent between VMs. Immutable.
 *
 * @param inProgress requests in progress by {@link #targetHash} of the target
 * @param waiting requests that wait for a target
 * @param demand requests per second
 */
public record LoadCounts(
    Map<Integer, Integer> inProgress,
    Map<FleetLoad.Waiting, Integer> waiting,
    Map<FleetLoad.Demand, Double> demand) {
  /** No load. */
  public static final LoadCounts NONE = new LoadCounts(Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public LoadCounts {
    inProgress = Map.copyOf(inProgress);
    waiting = Map.copyOf(waiting);
    demand = Map.copyOf(demand);
  }

  /** Returns whether there is no load. */
  public boolean isEmpty() {
    return inProgress.isEmpty() && waiting.isEmpty() && demand.isEmpty();
  }

  /**
   * Returns the number that stands for a target in messages: the CRC-32 of its id. Two targets with
   * the same number, which is improbable at some hundreds of targets, both count the requests of
   * both.
   *
   * @param targetId id of the target
   */
  public static int targetHash(String targetId) {
    CRC32 crc = new CRC32();
    crc.update(targetId.getBytes(StandardCharsets.UTF_8));
    return (int) crc.getValue();
  }

  /**
   * Returns counts by the numbers of the targets, without those that are 0.
   *
   * @param byId counts by id of the target
   */
  public static Map<Integer, Integer> byHash(Map<String, Integer> byId) {
    Map<Integer, Integer> counts = new HashMap<>();
    byId.forEach(
        (id, count) -> {
          if (count > 0) {
            counts.merge(targetHash(id), count, Integer::sum);
          }
        });
    return counts;
  }
}
