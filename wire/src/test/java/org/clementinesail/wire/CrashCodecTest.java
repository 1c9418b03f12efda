package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.crashes.CrashRecord;
import org.testng.annotations.Test;

/** Tests that records of crashes keep their ages on their way to another VM. */
public class CrashCodecTest {
  private static long at(long millis, long origin) {
    return origin + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static List<CrashRecord> records(long origin) {
    return List.of(
        new CrashRecord(
            -7,
            List.of(new CrashRecord.Crash("e1@5", origin, at(70, origin))),
            OptionalLong.empty()),
        new CrashRecord(9, List.of(), OptionalLong.of(at(80, origin))));
  }

  /** Clocks of VMs differ by any amount. */
  @Test
  public void agesAreKept() {
    var frame = CrashCodec.encode(records(1_000), at(100, 1_000));
    long origin = -5_000_000_000_000L;
    assertEquals(CrashCodec.decode(frame.getPartCrashes(), at(100, origin)), records(origin));
  }
}
