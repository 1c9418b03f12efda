package org.clementinesail.bench;

import java.util.function.Supplier;

/**
 * Measures the heap that an object retains: used bytes after its creation minus before, each read
 * after garbage collections.
 */
final class HeapUsage {
  private static final int GC_RUNS = 4;

  private HeapUsage() {}

  static long retainedBytes(Supplier<Object> create) {
    long before = usedBytes();
    Object kept = create.get();
    long after = usedBytes();
    // Keeps the object reachable until the second measurement is done.
    if (kept.hashCode() == Integer.MIN_VALUE) {
      System.out.print("");
    }
    return after - before;
  }

  @SuppressWarnings("SystemGc")
  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
