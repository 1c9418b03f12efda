package org.clementinesail.core.state;

/**
 * Key of one call that may run only once.
 *
 * @param workspace workspace of the caller
 * @param key value of the caller's {@code Idempotency-Key} header
 */
public record CallKey(String workspace, String key) {}
