package org.clementinesail.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.clementinesail.core.rules.Rule;
import org.clementinesail.core.rules.RuleSet;

/**
 * Admits or refuses requests according to the limit of the VM and the limits of their workspaces.
 *
 * <p>Callers must call {@link #release} when an admitted request ends. The class is not
 * thread-safe.
 */
public final class AdmissionControl {

  /** Whether a request is admitted. */
  public sealed interface Decision {}

  /** The request may run; it counts as in progress until it is released. */
  public record Admitted() implements Decision {}

  /**
   * The request is refused; the caller may send it again later.
   *
   * @param reason human-readable text that says which limit is reached
   * @param retryAfterNanos nanoseconds from now until a retry is worthwhile
   */
  public record Refused(String reason, long retryAfterNanos) implements Decision {}

  /** Suggested delay when a limit on concurrent requests is reached. */
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
   * Creates an admission control without requests in progress.
   *
   * @param maxRunning maximum number of requests in progress on this VM
   */
  public AdmissionControl(int maxRunning) {
    this.maxRunning = maxRunning;
  }

  /** Returns the number of requests in progress. */
  public int running() {
    return running;
  }

  /**
   * Admits a request, or refuses it if a limit is reached.
   *
   * @param rules rules in force
   * @param workspace workspace that sent the request
   * @param now current time in nanoseconds of the monotonic clock
   */
  public Decision admit(RuleSet rules, String workspace, long now) {
    if (running >= maxRunning) {
      return new Refused(
          "this VM has reached its limit with " + running + " requests in progress",
          CONCURRENCY_RETRY_NANOS);
    }
    Optional<Rule.Limit> limit = rules.limit(workspace);
    if (limit.isPresent()) {
      Decision decision = admitWithinLimit(limit.get(), workspace, now);
      if (decision instanceof Refused) {
        return decision;
      }
    }
    running++;
    return new Admitted();
  }

  /**
   * Records the end of an admitted request.
   *
   * @param workspace workspace that sent the request
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
          "workspace '"
              + workspace
              + "' has reached its limit with "
              + usage.running
              + " requests in progress",
          CONCURRENCY_RETRY_NANOS);
    }
    if (!usage.bucket.tryAcquire(now)) {
      return new Refused(
          "workspace '" + workspace + "' exceeds its limit of " + rate + " requests per second",
          usage.bucket.nanosUntilPermit(now));
    }
    usage.running++;
    return new Admitted();
  }
}
