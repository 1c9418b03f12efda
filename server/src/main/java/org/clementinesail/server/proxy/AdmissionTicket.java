package org.clementinesail.server.proxy;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalDouble;
import org.clementinesail.core.admission.AdmissionQueue;
import org.clementinesail.core.admission.WaitLimit;
import org.clementinesail.core.admission.WaitingRequest;
import org.clementinesail.core.desired.Route;
import org.jspecify.annotations.Nullable;

/** The place of one request in the queue of its service. Confined to the event loop. */
final class AdmissionTicket {
  /** A shorter delay brings callers back before a queue that is almost empty has drained. */
  private static final double LEAST_RETRY_SECONDS = 0.1;

  /** Ends a request with a reason for the log and a delay for its caller in seconds. */
  @FunctionalInterface
  interface Refusal {
    void refuse(String reason, double retryAfterSeconds);
  }

  private final ProxyContext context;
  private final RequestMetadata metadata;
  private final Runnable turn;
  private final Refusal refusal;
  private @Nullable AdmissionQueue queue;
  private @Nullable WaitingRequest request;
  private String labels = "";
  private String refusedBecause = "";
  private long startedAt;
  private boolean waiting;
  private boolean hasTurn;
  private boolean hasWaited;
  private boolean admitted;
  private boolean sent;
  private boolean ended;

  /**
   * Creates a ticket for a request whose service is not known yet.
   *
   * @param context shared objects of the server
   * @param metadata values of the request's headers
   * @param turn looks for a target when it is the turn of the request
   * @param refusal refuses the request when a more urgent one takes its place
   */
  AdmissionTicket(ProxyContext context, RequestMetadata metadata, Runnable turn, Refusal refusal) {
    this.context = context;
    this.metadata = metadata;
    this.turn = turn;
    this.refusal = refusal;
  }

  /** Sets the service and rank of the request; the times are those of {@link System#nanoTime}. */
  void open(RequestResolver.Resolved resolved, int rank, long now, long deadline) {
    Route route = resolved.route();
    String service = resolved.service().name();
    List<String> parts = metadata.sharedParts();
    TokenEstimate estimate = TokenEstimate.of(metadata, resolved.service().engine());
    String workspace = resolved.workspace();
    WaitingRequest opened =
        new WaitingRequest(
            context.routing().admission().nextId(),
            rank,
            workspace == null ? "" : workspace,
            route.name(),
            parts.isEmpty() ? "" : parts.get(parts.size() - 1),
            (long) estimate.promptTokens() + estimate.answerTokens(),
            deadline,
            WaitLimit.waitUntil(route.targetLatencyMillis(), route.timeoutMillis(), now, deadline));
    AdmissionQueue opensAt = context.routing().admission().queue(service);
    opensAt.recordOffered(opened, now);
    queue = opensAt;
    request = opened;
    startedAt = now;
    labels = "{service=\"" + service + "\",rank=\"" + rank + "\"}";
  }

  /** Returns the rank of the request. */
  int rank() {
    return Objects.requireNonNull(request).rank();
  }

  /** Returns whether the request may look for a target now. */
  boolean mayTry(long now) {
    if (waiting || sent) {
      // One that was sent and has not run goes on to other targets before it waits again.
      return !waiting || hasTurn;
    }
    return Objects.requireNonNull(queue)
        .mayStart(Objects.requireNonNull(request), context.routing().fleetLoad(), now);
  }

  /** Returns whether the request waits and is refused now, because it has got no target in time. */
  boolean isOver(long now) {
    return waiting && now - Objects.requireNonNull(request).waitUntil() >= 0;
  }

  /** Returns whether the request waits from now on; otherwise it is to be refused. */
  boolean await(long now) {
    AdmissionQueue joined = Objects.requireNonNull(queue);
    WaitingRequest self = Objects.requireNonNull(request);
    if (now - self.waitUntil() >= 0) {
      refusedBecause = hasWaited ? "no target in time" : "";
      return false;
    } else if (waiting) {
      return true;
    }
    AdmissionQueue.Offer offer = joined.offer(self, now);
    if (offer instanceof AdmissionQueue.Refused refused) {
      refusedBecause = refused.reason();
      return false;
    }
    waiting = true;
    hasWaited = true;
    context.routing().admission().add(self, this);
    context.metrics().add("admission_waiting" + labels, 1);
    if (joined.hasStarved(now)) {
      // The request may have come after one of that rank only, while targets have room for both.
      context.routing().admission().wake();
    }
    WaitingRequest displaced = ((AdmissionQueue.Accepted) offer).displaced();
    if (displaced != null) {
      context.routing().admission().displace(displaced);
    }
    return true;
  }

  /** Looks for a target; returns whether the request waits no more. */
  boolean takeTurn() {
    hasTurn = true;
    turn.run();
    hasTurn = false;
    return !waiting;
  }

  /** Refuses the request, whose place a more urgent one has taken. */
  void displace() {
    long now = System.nanoTime();
    leave(now);
    refusedBecause = "a more urgent request took its place";
    refusal.refuse("no target is available" + describe(now), retryAfterSeconds(now));
  }

  /** Records that the request is sent to a target or another VM. */
  void admit(long now) {
    leave(now);
    sent = true;
    if (!admitted) {
      admitted = true;
      Objects.requireNonNull(queue).recordAdmitted(Objects.requireNonNull(request), hasWaited, now);
      context.metrics().recordTime("admission_wait_seconds" + labels, now - startedAt);
    }
  }

  /** Records that the request was sent and has not run. */
  void takeBack(long now) {
    if (admitted) {
      admitted = false;
      Objects.requireNonNull(queue).recordReturned(Objects.requireNonNull(request), hasWaited, now);
    }
  }

  /** Records that the request has ended. */
  void close() {
    if (queue != null && !ended) {
      ended = true;
      leave(System.nanoTime());
      String outcome = admitted ? "admitted" : "refused";
      String suffix = labels.substring(0, labels.length() - 1) + ",outcome=\"" + outcome + "\"}";
      context.metrics().count("admission_total" + suffix);
    }
  }

  private void leave(long now) {
    if (waiting) {
      waiting = false;
      WaitingRequest self = Objects.requireNonNull(request);
      Objects.requireNonNull(queue).remove(self, now);
      context.routing().admission().remove(self);
      context.metrics().add("admission_waiting" + labels, -1);
    }
  }

  /** Returns for the log why the request was refused and what the queue looked like. */
  String describe(long now) {
    AdmissionQueue left = Objects.requireNonNull(queue);
    WaitingRequest self = Objects.requireNonNull(request);
    OptionalDouble expected = left.expectedSeconds(self, now);
    String wait =
        expected.isPresent()
            ? String.format(Locale.ROOT, "%.0f ms", expected.getAsDouble() * 1_000)
            : "unknown";
    return (refusedBecause.isEmpty() ? "" : ": " + refusedBecause)
        + "; service "
        + left.service()
        + ", rank "
        + self.rank()
        + ", queue length "
        + left.length()
        + ", expected wait "
        + wait;
  }

  /** Returns the delay for a refused caller in seconds: the time that the queue needs to drain. */
  double retryAfterSeconds(long now) {
    OptionalDouble expected =
        Objects.requireNonNull(queue).expectedSeconds(Objects.requireNonNull(request), now);
    return expected.isPresent()
        ? Math.max(Math.max(LEAST_RETRY_SECONDS, RetryAfter.least(context)), expected.getAsDouble())
        : RetryAfter.SECONDS;
  }
}
