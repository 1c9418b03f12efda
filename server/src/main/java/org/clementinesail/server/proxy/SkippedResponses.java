package org.clementinesail.server.proxy;

/** What came before the response to a request and is skipped. */
final class SkippedResponses {
  private static final int MAX_RESPONSES = 8;

  /** Most bytes of bodies; a connection with more is not worth reading. */
  private static final int MAX_BYTES = 65_536;

  private int count;
  private int bytes;
  private boolean foreign;

  /**
   * Records the head of a response.
   *
   * @param ofOtherRequest whether it belongs to another request, unlike an informational one
   */
  void recordHead(boolean ofOtherRequest) {
    count++;
    foreign |= ofOtherRequest;
  }

  void recordBytes(int added) {
    bytes += added;
  }

  int count() {
    return count;
  }

  /** Returns whether one of the responses belongs to another request. */
  boolean anyOfOtherRequest() {
    return foreign;
  }

  boolean tooMany() {
    return count > MAX_RESPONSES || bytes > MAX_BYTES;
  }
}
