package org.clementinesail.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.rules.Rule;
import org.clementinesail.core.rules.RuleSet;

/**
 * Admits or refuses requests by the limits of their workspaces. The class is not thread-safe.
 *
 * <p>A request that is admitted must be released when it ends.
 */
public final class AdmissionControl {

  /** What becomes of a request. */
  public sealed interface Decision {}

  /** The request may run. */
  public record Admitted() implements Decision {}

  /**
   * The request is refused and may be sent again later.
   *
   * @param reason which limit is reached
   * @param retryAfterNanos earliest time to try again, counted from now
   */
  public record Refused(String reason, long retryAfterNanos) implements Decision {}

  private static final long CONCURRENCY_RETRY_NANOS = 1_000_000_000L;

  private static final class Usage {
    int running;
    TokenBucket bucket;

    Usage(double perSecond, long now) {
      this.bucket = new TokenBucket(perSecond, now);
    }
  }

  private final Map<String, Usage> usages = new HashMap<>();
  private final int maxRunning;
  private int running;

  /**
   * Creates an admission without requests.
   *
   * @param maxRunning most requests in progress on this VM
   */
  public AdmissionControl(int maxRunning) {
    this.maxRunning = maxRunning;
  }

  /** Returns the number of requests in progress. */
  public int running() {
    return running;
  }

  /**
   * Decides on a request.
   *
   * @param rules rules in force
   * @param workspace workspace of the request
   * @param now present time in nanoseconds
   */
  public Decision admit(RuleSet rules, String workspace, long now) {
    if (running >= maxRunning) {
      return new Refused(
          "this VM has " + running + " requests in progress", CONCURRENCY_RETRY_NANOS);
    }
    Optional<Rule.Limit> limit = rules.limit(workspace);
    if (limit.isPresent()) {
      Decision refusal = admitWithinLimit(limit.get(), workspace, now);
      if (refusal instanceof Refused) {
        return refusal;
      }
    }
    running++;
    return new Admitted();
  }

  /**
   * Notes the end of an admitted request.
   *
   * @param workspace workspace of the request
   */
  public void release(String workspace) {
    running--;
    Usage usage = usages.get(workspace);
    if (usage != null && usage.running > 0) {
      usage.running--;
    }
  }

  private Decision admitWithinLimit(Rule.Limit limit, String workspace, long now) {
    double rate = limit.requestsPerSecond();
    Usage usage = usages.computeIfAbsent(workspace, key -> new Usage(rate, now));
    usage.bucket.permitsPerSecond(rate);
    if (usage.running >= limit.concurrent()) {
      return new Refused(
          "workspace '" + workspace + "' has " + usage.running + " requests in progress",
          CONCURRENCY_RETRY_NANOS);
    }
    if (!usage.bucket.tryAcquire(now)) {
      return new Refused(
          "workspace '" + workspace + "' is over " + rate + " requests a second",
          usage.bucket.nanosUntilPermit(now));
    }
    usage.running++;
    return new Admitted();
  }
}
