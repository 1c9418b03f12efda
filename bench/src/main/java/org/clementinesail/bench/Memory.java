package org.clementinesail.bench;

import java.util.function.Supplier;

/** Measures the heap that an object keeps, as the difference between two collections. */
final class Memory {
  private static final int COLLECTIONS = 4;

  private Memory() {}

  static long bytesOf(Supplier<Object> create) {
    long before = used();
    Object kept = create.get();
    long after = used();
    if (kept.hashCode() == Integer.MIN_VALUE) {
      System.out.print("");
    }
    return after - before;
  }

  @SuppressWarnings("SystemGc")
  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
