package org.clementinesail.bench;

/** Runs the benchmarks. */
public final class BenchMain {
  private BenchMain() {}
}
