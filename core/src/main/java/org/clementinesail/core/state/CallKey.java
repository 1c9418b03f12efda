package org.clementinesail.core.state;

/**
 * Names one call that may not be repeated.
 *
 * @param workspace workspace of the caller
 * @param key value of the caller's {@code Idempotency-Key} header
 */
public record CallKey(String workspace, String key) {}
