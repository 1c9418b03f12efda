package org.clementinesail.wire;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.clementinesail.wire.proto.Frame.KindCase;

/** Counts the bytes of frames sent and received, by kind, with their length fields. */
public final class TrafficCounters {
  private final Map<KindCase, LongAdder> sent = counters();
  private final Map<KindCase, LongAdder> received = counters();

  private static Map<KindCase, LongAdder> counters() {
    Map<KindCase, LongAdder> counters = new EnumMap<>(KindCase.class);
    for (KindCase kind : KindCase.values()) {
      counters.put(kind, new LongAdder());
    }
    return counters;
  }

  void countSent(KindCase kind, int bytes) {
    add(sent, kind, bytes);
  }

  void countReceived(KindCase kind, int bytes) {
    add(received, kind, bytes);
  }

  /**
   * Returns the bytes sent in frames of a kind since the network was created.
   *
   * @param kind kind of the frames
   */
  public long sentBytes(KindCase kind) {
    return sum(sent, kind);
  }

  /**
   * Returns the bytes received in frames of a kind since the network was created.
   *
   * @param kind kind of the frames
   */
  public long receivedBytes(KindCase kind) {
    return sum(received, kind);
  }

  private static void add(Map<KindCase, LongAdder> counters, KindCase kind, int bytes) {
    LongAdder counter = counters.get(kind);
    if (counter != null) {
      counter.add(bytes);
    }
  }

  private static long sum(Map<KindCase, LongAdder> counters, KindCase kind) {
    LongAdder counter = counters.get(kind);
    return counter == null ? 0 : counter.sum();
  }
}
