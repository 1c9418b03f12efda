package org.clementinesail.server.requests;

import java.io.IOException;

/** Receives the generated tokens of an answer in order. */
@FunctionalInterface
public interface TokenSink {

  /**
   * Delivers the next token to the caller.
   *
   * @param token text of the token
   * @throws IOException if the caller has closed the connection
   */
  void accept(String token) throws IOException;
}
