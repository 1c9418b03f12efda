package org.clementinesail.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.clementinesail.server.storage.StorageException;

/**
 * Measures how time, memory and bytes grow with load.
 *
 * <pre>{@code
 * java -jar bench/target/clementinesail-bench-all.jar target/slopes
 * }</pre>
 */
public final class BenchMain {
  private BenchMain() {}

  /**
   * Prints each curve with its points and the slope from the first to the last point, and writes
   * its plot to a folder as PNG.
   *
   * @param args folder for the plots; {@code target/slopes} if empty
   * @throws IOException if a plot or a temporary folder cannot be written
   * @throws StorageException if the data folder of a replica cannot be read or written
   */
  public static void main(String[] args) throws IOException, StorageException {
    Path folder = Path.of(args.length > 0 ? args[0] : "target/slopes");
    Files.createDirectories(folder);
    List<ScalingCurve> curves =
        List.of(
            TargetScaling.planTime(),
            TargetScaling.poolBuildTime(),
            TargetScaling.encodedBytes(),
            TargetScaling.directoryHeapBytes(),
            RuleScaling.parseTime(),
            RuleScaling.heapBytes(),
            RuleScaling.deltaBytes(),
            RuleScaling.fileBytes(),
            LogScaling.restartTime(),
            LogScaling.syncsPerClaim(),
            LogScaling.claimsPerSecond(),
            LogScaling.bytesPerClaim(),
            MetricScaling.histogramHeapBytes());
    for (ScalingCurve curve : curves) {
      System.out.print(curve.describe());
      curve.plot(folder);
    }
  }
}
