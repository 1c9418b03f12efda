package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.HashMap;
import java.util.Map;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadCounts;
import org.clementinesail.core.load.LoadReport;
import org.clementinesail.core.load.LoadSummary;
import org.clementinesail.wire.proto.Frame;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Tests that loads arrive as they were sent, and how large the messages are. */
public final class LoadCodecTest {
  private static final int ENGINES = 98;
  private static final int SERVERS = 3;

  private static LoadCounts counts(int targets, int inProgress, double rate, int dataCentres) {
    Map<Integer, Integer> byTarget = new HashMap<>();
    for (int i = 0; i < targets; i++) {
      byTarget.put(LoadCounts.targetHash("target-" + i), inProgress);
    }
    Map<FleetLoad.Waiting, Integer> waiting = new HashMap<>();
    Map<FleetLoad.Demand, Double> demand = new HashMap<>();
    for (String service : new String[] {"language", "lookup"}) {
      for (int rank = 0; rank < 3; rank++) {
        waiting.put(new FleetLoad.Waiting(service, rank), inProgress);
      }
      for (int i = 0; i < dataCentres; i++) {
        demand.put(new FleetLoad.Demand(service, "centre-" + i), rate);
      }
    }
    return new LoadCounts(byTarget, waiting, demand);
  }

  /** Counts and demand arrive at their targets, services, ranks and data centres. */
  @Test
  public void loadsArrive() {
    LoadReport report = new LoadReport(7, counts(5, 3, 2.5, 1));
    assertEquals(LoadCodec.decode(LoadCodec.encode(report, "centre-0").getLoadReport()), report);
    LoadSummary summary = new LoadSummary(8, 130, counts(101, 40, 99.5, 3));
    Frame other = LoadCodec.forReceiver(LoadCodec.encode(summary), 9);
    assertEquals(
        LoadCodec.decode(other.getLoadSummary()), new LoadSummary(9, 130, summary.counts()));
  }

  /** Counts that cannot be told apart must not be counted for other targets. */
  @Test
  public void countsWithoutTargetsAreRefused() {
    var report = org.clementinesail.wire.proto.LoadReport.newBuilder().addInProgress(1).build();
    assertThrows(CodecException.class, () -> LoadCodec.decode(report));
  }

  /** An earlier build must not close the connection at a kind of frame that it does not know. */
  @Test
  public void unknownFrameKindsArriveWithoutKind() {
    UnknownFieldSet.Field field =
        UnknownFieldSet.Field.newBuilder().addLengthDelimited(ByteString.copyFromUtf8("x")).build();
    byte[] bytes =
        Frame.newBuilder()
            .setUnknownFields(UnknownFieldSet.newBuilder().addField(1_000, field).build())
            .build()
            .toByteArray();
    EmbeddedChannel channel = new EmbeddedChannel();
    FrameCodec.install(channel.pipeline(), new TrafficCounters());
    channel.writeInbound(Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes));
    Frame received = channel.readInbound();
    assertEquals(received.getKindCase(), Frame.KindCase.KIND_NOT_SET);
    assertTrue(channel.isOpen());
  }

  /**
   * Summaries go to all VMs four times a second: with ids instead of hashes, they would be a third
   * of the leader's link at 130 VMs.
   */
  @Test
  public void messagesStaySmall() {
    for (int vms : new int[] {9, 66, 130, 300}) {
      // 40 requests per engine and 5 per server; a VM has its part at up to as many targets.
      int perVm = Math.min(ENGINES + SERVERS, ENGINES * 40 / vms);
      int reportBytes =
          LoadCodec.encode(
                      new LoadReport(1_000, counts(perVm, Math.max(1, 40 / vms), 900.0 / vms, 1)),
                      "centre-0")
                  .getSerializedSize()
              + 4;
      int summaryBytes =
          LoadCodec.encode(new LoadSummary(1_000, vms, counts(ENGINES + SERVERS, 40, 300, 3)))
                  .getSerializedSize()
              + 4;
      Reporter.log(
          vms + " VMs: report " + reportBytes + " bytes, summary " + summaryBytes + " bytes", true);
      assertTrue(reportBytes <= 1_000, "report of " + reportBytes + " bytes");
      assertTrue(summaryBytes <= 1_000, "summary of " + summaryBytes + " bytes");
    }
  }
}
