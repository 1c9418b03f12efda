package org.clementinesail.server.proxy;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that has been read completely.
 *
 * @param head its method, path and headers
 * @param body its body
 * @param receivedAt the {@link System#nanoTime} of its last byte
 */
record ReceivedRequest(HttpRequest head, RequestBody body, long receivedAt) {}
