package org.clementinesail.server.requests;

import java.io.IOException;

/** Takes the tokens of an answer in order. */
@FunctionalInterface
public interface TokenSink {

  /**
   * Delivers a token.
   *
   * @param token text of the token
   * @throws IOException if the caller is gone
   */
  void accept(String token) throws IOException;
}
