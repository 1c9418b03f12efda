package org.clementinesail.core.state;

/**
 * A version of the desired state as the operator sent it.
 *
 * @param version number of the version; 0 stands for none
 * @param compressed the document, compressed; not copied, not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record DesiredDocument(long version, byte[] compressed) {
  /** Before any version is accepted. */
  public static final DesiredDocument NONE = new DesiredDocument(0, new byte[0]);
}
