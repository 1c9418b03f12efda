package org.clementinesail.it;

import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Finds free ports that the tests of other JVMs do not get, also before something listens. */
final class FreePorts {
  private static @Nullable PortBlock block;

  private FreePorts() {}

  /** Returns the next free port of the block of this JVM. */
  static synchronized int next() throws IOException {
    PortBlock own = block;
    if (own == null) {
      own = PortBlock.take();
      block = own;
    }
    return own.nextFree();
  }
}
