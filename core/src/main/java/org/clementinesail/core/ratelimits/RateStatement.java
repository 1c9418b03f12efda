package org.clementinesail.core.ratelimits;

/** What an answer of a target states about the rate of requests that it takes. */
public sealed interface RateStatement {

  /**
   * The target takes a limited rate from all VMs together.
   *
   * @param perSecond requests per second, finite and 0 or more
   */
  record Limited(double perSecond) implements RateStatement {}

  /** The target names no limit. */
  record Unlimited() implements RateStatement {}

  /** The answer does not tell, for example because its value cannot be read. */
  record Unclear() implements RateStatement {}
}
