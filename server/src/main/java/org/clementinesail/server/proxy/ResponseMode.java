package org.clementinesail.server.proxy;

/** What is done with the parts of a response as they arrive. */
enum ResponseMode {
  AWAITING_HEAD,
  REFUSED,
  BUFFERED,
  /** Longer than the buffer: parts are passed on, and the response cannot be replaced. */
  PASSED_ON,
  EVENTS
}
