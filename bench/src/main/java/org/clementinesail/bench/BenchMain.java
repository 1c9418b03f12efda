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
    List<Slope> slopes =
        List.of(
            TargetSlopes.choice(),
            TargetSlopes.regroup(),
            TargetSlopes.factBytes(),
            TargetSlopes.directoryMemory(),
            RuleSlopes.parse(),
            RuleSlopes.memory(),
            RuleSlopes.deltaBytes(),
            RuleSlopes.fileBytes(),
            LogSlopes.restart(),
            LogSlopes.syncsPerBatch(),
            LogSlopes.claimsPerSecond(),
            LogSlopes.bytesPerClaim(),
            MetricSlopes.histogramMemory());
    for (Slope slope : slopes) {
      System.out.print(slope.describe());
      slope.plot(folder);
    }
  }
}
