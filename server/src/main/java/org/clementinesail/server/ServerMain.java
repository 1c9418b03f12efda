package org.clementinesail.server;

/** x. */
public final class ServerMain {
  private ServerMain() {}
}
