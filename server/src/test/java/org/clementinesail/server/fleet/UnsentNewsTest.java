package org.clementinesail.server.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinesail.core.fleet.TargetStatement;
import org.clementinesail.core.fleet.TargetStatement.Phase;
import org.clementinesail.core.targets.LayerRange;
import org.clementinesail.wire.proto.FleetUpdate;
import org.clementinesail.wire.proto.Frame;
import org.testng.annotations.Test;

/** Tests which statements are sent in full. */
public class UnsentNewsTest {
  private static final FleetUpdate HEADER =
      FleetUpdate.newBuilder()
          .setTrafficVms(130)
          .setSendingVms(130)
          .addAllControlVms(List.of("10.17.1.9:21840", "10.17.2.9:21840", "10.17.3.9:21840"))
          .build();

  private static TargetStatement statement(int number, int slots, long sequence) {
    return new TargetStatement(
        "i-0123456789ab" + number,
        "model-large",
        "10.17.1." + number + ":8080",
        "dc-1",
        slots,
        Phase.READY,
        "kind-b",
        new LayerRange(0, 40),
        1_790_000_000_000L,
        sequence);
  }

  /** A subscriber that does not accept renewals would see the lease end. */
  @Test
  public void oldSubscriberGetsFullStatements() {
    UnsentNews news = new UnsentNews();
    news.add(statement(1, 134, 2), statement(1, 134, 1));
    assertEquals(news.statements(HEADER, 0).getStatements(0).getSequence(), 2);
    assertEquals(news.statements(HEADER, 0).getRenewals().getDigestsCount(), 0);
    FleetUpdate update = news.renewals(HEADER, 0);
    assertEquals(update.getStatementsCount(), 0);
    assertEquals(update.getRenewals().getDigests(0), statement(1, 134, 1).digest());
  }

  /** A change would be lost if a later heartbeat in the same round made it a renewal. */
  @Test
  public void changeIsSentInFull() {
    UnsentNews news = new UnsentNews();
    news.add(statement(1, 100, 2), statement(1, 134, 1));
    news.add(statement(1, 100, 3), statement(1, 100, 2));
    news.add(statement(2, 134, 1), null);
    FleetUpdate update = news.renewals(HEADER, 0);
    assertEquals(update.getStatementsCount(), 2);
    assertEquals(update.getStatements(0).getSequence(), 3);
    assertEquals(update.getRenewals().getDigestsCount(), 0);
  }

  /** News of 101 targets with a heartbeat each 1.2 s, over 12 s in rounds of 250 ms. */
  @Test
  public void renewalsAreSmall() {
    long full = 0;
    long renewed = 0;
    UnsentNews news = new UnsentNews();
    for (int round = 0; round < 48; round++) {
      long now = round * 250_000_000L;
      for (int i = 0; i < 101; i++) {
        long beats = (round * 250L + i * 12L) / 1_200;
        if (beats > ((round - 1) * 250L + i * 12L) / 1_200) {
          news.add(statement(i, 134, 5_000 + beats), statement(i, 134, 1));
        }
      }
      full += Frame.newBuilder().setFleet(news.statements(HEADER, now)).build().getSerializedSize();
      renewed +=
          Frame.newBuilder().setFleet(news.renewals(HEADER, now)).build().getSerializedSize();
      news.clear();
    }
    System.out.println("bytes a second: full " + full / 12 + ", renewed " + renewed / 12);
    assertTrue(renewed * 4 < full, "full " + full + " renewed " + renewed);
  }
}
