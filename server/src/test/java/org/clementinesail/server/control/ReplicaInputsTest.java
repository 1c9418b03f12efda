package org.clementinesail.server.control;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests which inputs of a replica are refused while others wait. */
public final class ReplicaInputsTest {
  private static final long LARGE_BYTES = 20L * 1_024 * 1_024;

  private static final class Input implements ReplicaTask {
    private final long bytes;
    private boolean rejected;

    Input(long bytes) {
      this.bytes = bytes;
    }

    @Override
    public void run(ReplicaSession open, long now) {}

    @Override
    public void reject() {
      rejected = true;
    }

    @Override
    public long bytes() {
      return bytes;
    }
  }

  /** A vote or heartbeat, which has no payload, is not refused behind a large input. */
  @Test
  public void inputWithoutPayloadIsNotRefusedBehindLargeOne() {
    ReplicaInputs inputs = new ReplicaInputs();
    inputs.offer(new Input(LARGE_BYTES));
    Input small = new Input(0);
    Input second = new Input(LARGE_BYTES);
    inputs.offer(small);
    inputs.offer(second);
    assertFalse(small.rejected);
    assertTrue(second.rejected);
  }
}
