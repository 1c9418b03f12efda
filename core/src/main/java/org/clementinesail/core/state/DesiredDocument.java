package org.clementinesail.core.state;

/**
 * A version of the desired state as the operator sent it, not parsed.
 *
 * @param version number of the version; 0 if there is none
 * @param compressed the document compressed with zlib; not copied, must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record DesiredDocument(long version, byte[] compressed) {
  /** Version 0, stored until a version is accepted. */
  public static final DesiredDocument NONE = new DesiredDocument(0, new byte[0]);
}
