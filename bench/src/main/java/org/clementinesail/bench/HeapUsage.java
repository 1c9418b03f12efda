package org.clementinesail.bench;

import java.util.function.Supplier;

/** Measures the heap that an object keeps, as the difference between two collections. */
final class HeapUsage {
  private static final int GC_RUNS = 4;

  private HeapUsage() {}

  static long retainedBytes(Supplier<Object> create) {
    long before = usedBytes();
    Object kept = create.get();
    long after = usedBytes();
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
