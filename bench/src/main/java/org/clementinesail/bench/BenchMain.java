package org.clementinesail.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.clementinesail.server.storage.StorageException;

/**
 * Measures the slopes that the capacity page is worked out from.
 *
 * <pre>{@code
 * java -jar bench/target/clementinesail-bench-all.jar target/slopes
 * }</pre>
 */
public final class BenchMain {
  private BenchMain() {}

  /**
   * Prints every slope with its points, and writes a plot of each to a folder.
   *
   * @param args the folder for plots
   * @throws IOException if a plot or a scratch folder cannot be written
   * @throws StorageException if the disk fails
   */
  public static void main(String[] args) throws IOException, StorageException {
    Path folder = Path.of(args.length > 0 ? args[0] : "target/slopes");
    Files.createDirectories(folder);
    List<ScalingCurve> slopes =
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
    for (ScalingCurve slope : slopes) {
      System.out.print(slope.describe());
      slope.plot(folder);
    }
  }
}
