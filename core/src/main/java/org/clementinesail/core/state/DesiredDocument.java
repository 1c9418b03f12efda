package org.clementinesail.core.state;

import java.util.Optional;

/**
 * A version of the desired state as the operator sent it, not parsed.
 *
 * @param version number of the version; any integer, as operators choose the first one
 * @param compressed the document compressed with zlib; not copied, must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record DesiredDocument(long version, byte[] compressed) {
  /**
   * Returns whether this version replaces the one that is held.
   *
   * @param held version that is held, or empty if there is none, which any version replaces
   */
  public boolean replaces(Optional<DesiredDocument> held) {
    return held.isEmpty() || version > held.get().version();
  }
}
