package org.clementinesail.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.clementinesail.server.storage.StorageException;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Values measured at rising sizes, and the slope between the first and the last of them.
 *
 * @param name short name, also the plot's file name
 * @param x name of the size on the x axis
 * @param y name of the value on the y axis, with its unit
 * @param points points in rising order of size, at least two
 */
record ScalingCurve(String name, String x, String y, List<Point> points) {

  /**
   * One measured point.
   *
   * @param size position on the x axis
   * @param value position on the y axis
   */
  record Point(double size, double value) {}

  /** Measures the value at a size. */
  @FunctionalInterface
  interface Measurement {
    double at(int size) throws IOException, StorageException;
  }

  static ScalingCurve measure(
      String name, String x, String y, Measurement measurement, int... sizes)
      throws IOException, StorageException {
    List<Point> points = new ArrayList<>();
    for (int size : sizes) {
      points.add(new Point(size, measurement.at(size)));
    }
    return new ScalingCurve(name, x, y, points);
  }

  double slopePerUnit() {
    Point first = points.get(0);
    Point last = points.get(points.size() - 1);
    return (last.value() - first.value()) / (last.size() - first.size());
  }

  String describe() {
    StringBuilder out = new StringBuilder();
    out.append(String.format(Locale.ROOT, "%s: %s against %s%n", name, y, x));
    for (Point point : points) {
      out.append(String.format(Locale.ROOT, "  %10.0f  %14.3f%n", point.size(), point.value()));
    }
    out.append(String.format(Locale.ROOT, "  slope %.6f per unit%n", slopePerUnit()));
    return out.toString();
  }

  void plot(Path folder) throws IOException {
    XYChart chart =
        new XYChartBuilder().width(640).height(400).title(name).xAxisTitle(x).yAxisTitle(y).build();
    chart.addSeries(
        name,
        points.stream().mapToDouble(Point::size).toArray(),
        points.stream().mapToDouble(Point::value).toArray());
    BitmapEncoder.saveBitmap(
        chart, folder.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
