package org.clementinesail.server.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that buffers of all requests together stay within the limit. */
public final class BufferLimitTest {
  private static final int SMALL = 16_384;
  private static final int LARGE = SMALL + 600;
  private static final int RESERVE = 16 * SMALL;

  private final BufferLimit limit = new BufferLimit(LARGE + 1_000);

  /** A second large buffer has no room beside the first; what is released can be used again. */
  @Test
  public void buffersBeyondTheLimitAreRefused() {
    BufferLimit.Reservation first = limit.reservation();
    BufferLimit.Reservation second = limit.reservation();
    assertTrue(first.resize(LARGE));
    assertFalse(second.resize(LARGE));
    first.release();
    first.release();
    assertTrue(second.resize(LARGE));
    assertFalse(first.resize(LARGE));
    assertTrue(second.resize(SMALL));
    assertFalse(first.resize(LARGE), "the first 16 KiB of a buffer do not count");
    second.release();
    assertTrue(first.resize(LARGE));
    first.release();
    assertEquals(limit.reservedBytes(), 0);
  }

  /** Small buffers are kept also when large ones use up the limit. */
  @Test
  public void smallBuffersAreNeverRefused() {
    BufferLimit full = new BufferLimit(0);
    assertFalse(full.reservation().resize(LARGE));
    assertTrue(full.reservation().resize(SMALL));
  }

  /** Without room in the reserve, the largest holder that has no running request is ended. */
  @Test
  public void largestHolderMakesRoomForASmallOne() {
    BufferLimit full = new BufferLimit(0);
    List<Integer> ended = new ArrayList<>();
    for (int i = 0; i < RESERVE / SMALL; i++) {
      hold(full, ended, i, i == 3 || i == 9 ? SMALL : SMALL - 1, i != 9);
    }
    hold(full, ended, 20, SMALL - 100, true);
    assertEquals(ended, List.of(3), "holders 3 and 9 are the largest, 9 has a running request");
    hold(full, ended, 21, SMALL - 100, true);
    assertEquals(ended, List.of(3, 15), "the newest of equal holders");
  }

  /** Nothing is kept beyond limit and reserve if no holder can be ended. */
  @Test
  public void smallBuffersStayWithinTheReserve() {
    BufferLimit full = new BufferLimit(0);
    for (int i = 0; i < RESERVE / SMALL; i++) {
      assertTrue(full.reservation().resize(SMALL));
    }
    assertFalse(full.reservation().resize(1));
  }

  /** A running response is counted, and not refused, while others hold all the memory. */
  @Test
  public void bytesHeldAlreadyAreRefused() {
    BufferLimit full = new BufferLimit(0);
    List<Integer> ended = new ArrayList<>();
    for (int i = 0; i < RESERVE / SMALL; i++) {
      hold(full, ended, i, SMALL, i == 5);
    }
    BufferLimit.Reservation response = full.reservation();
    response.hold(SMALL);
    assertEquals(ended, List.of(5));
    assertEquals(full.reservedBytes(), RESERVE);
    response.hold(2 * SMALL);
    assertEquals(full.reservedBytes(), RESERVE + SMALL, "no holder is left to end");
    response.release();
    assertEquals(full.reservedBytes(), RESERVE - SMALL);
  }

  private static void hold(
      BufferLimit limit, List<Integer> ended, int number, int bytes, boolean mayBeEnded) {
    BufferLimit.Reservation[] own = new BufferLimit.Reservation[1];
    own[0] =
        limit.reservation(
            new BufferLimit.Holder() {
              @Override
              public boolean mayBeEnded() {
                return mayBeEnded;
              }

              @Override
              public void end() {
                ended.add(number);
                own[0].release();
              }
            });
    assertTrue(own[0].resize(bytes));
  }
}
