package org.clementinesail.server.proxy;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that buffers of all requests together stay within the limit. */
public final class BufferLimitTest {
  private static final int SMALL = 16_384;
  private static final int LARGE = SMALL + 600;

  private final BufferLimit limit = new BufferLimit(1_000);

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
    assertTrue(first.resize(LARGE));
    first.release();
  }

  /** Small buffers are kept also when large ones use up the limit. */
  @Test
  public void smallBuffersAreNeverRefused() {
    BufferLimit full = new BufferLimit(0);
    assertFalse(full.reservation().resize(LARGE));
    assertTrue(full.reservation().resize(SMALL));
  }
}
