package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.function.Consumer;
import org.clementinesail.core.fleet.EngineReport;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.wire.proto.ReportImage;
import org.clementinesail.wire.proto.StatementImage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that statements and reports arrive as sent, and that invalid ones are refused. */
public class FleetCodecTest {
  private static final TargetStatement STATEMENT =
      new TargetStatement(
          "t", "lm", "10.0.0.9:80", "a", 8, Phase.READY, "l4", new LayerRange(0, 8), 10, 4);

  private static final EngineReport REPORT =
      new EngineReport("t", true, 3, 2, 100, 200, 1.5, true, 7, new LayerRange(0, 8), 0);

  /** Decoding restores a statement, also of a target of which only the id is known. */
  @Test
  public void restoresStatement() {
    assertEquals(FleetCodec.decode(FleetCodec.encode(STATEMENT, 0, 0)), STATEMENT);
    TargetStatement gone = TargetStatement.deregistered("t");
    assertEquals(FleetCodec.decode(FleetCodec.encode(gone, 0, 0)), gone);
  }

  /** Decoding restores a report, also of an engine that gave none. */
  @Test
  public void restoresReport() {
    assertEquals(FleetCodec.decode(FleetCodec.encode(REPORT, 0), 0), REPORT);
    EngineReport none = EngineReport.unreachable("t", 0);
    assertEquals(FleetCodec.decode(FleetCodec.encode(none, 0), 0), none);
  }

  /** Changes that make a statement invalid; an earlier version may send it. */
  @DataProvider
  public Object[][] invalidStatements() {
    return new Object[][] {
      {change(s -> s.setPhaseValue(17))},
      {change(s -> s.setAddress("10.0.0.9:99999"))},
      {change(s -> s.setAddress(""))},
      {change(s -> s.setId(""))},
      {change(s -> s.setSlots(-1))},
      {change(s -> s.setLayerFrom(-5))},
      {change(s -> s.setSequence(-1))},
      {change(s -> s.setStartedAtMillis(-1))},
      {change(s -> s.setAgeMillis(-1))},
    };
  }

  private static StatementImage change(Consumer<StatementImage.Builder> change) {
    StatementImage.Builder image = FleetCodec.encode(STATEMENT, 0, 0).toBuilder();
    change.accept(image);
    return image.build();
  }

  /** An invalid statement is reported as such, and not by any other exception. */
  @Test(dataProvider = "invalidStatements")
  public void invalidStatementIsRefused(StatementImage image) {
    assertThrows(CodecException.class, () -> FleetCodec.decode(image));
  }

  /** Changes that make a report invalid. */
  @DataProvider
  public Object[][] invalidReports() {
    return new Object[][] {
      {changeReport(r -> r.setRunning(-1))},
      {changeReport(r -> r.setWaiting(-1))},
      {changeReport(r -> r.setKvUsed(-1))},
      {changeReport(r -> r.setKvTotal(-1))},
      {changeReport(r -> r.setPace(Double.NaN))},
      {changeReport(r -> r.setPace(Double.POSITIVE_INFINITY))},
      {changeReport(r -> r.setLayerFrom(-5))},
      {changeReport(r -> r.setAgeMillis(-1))},
    };
  }

  private static ReportImage changeReport(Consumer<ReportImage.Builder> change) {
    ReportImage.Builder image = FleetCodec.encode(REPORT, 0).toBuilder();
    change.accept(image);
    return image.build();
  }

  /** An invalid report is reported as such, and not by any other exception. */
  @Test(dataProvider = "invalidReports")
  public void invalidReportIsRefused(ReportImage image) {
    assertThrows(CodecException.class, () -> FleetCodec.decode(image, 0));
  }
}
