package org.clementinesail.server.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.clementinesail.core.admission.AdmissionQueue;
import org.clementinesail.core.admission.FullTargets;
import org.clementinesail.core.admission.QueuePass;
import org.clementinesail.core.admission.WaitingRequest;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait for a target, with one queue for each service. Confined to the event loop.
 */
public final class AdmissionQueues {
  private final Supplier<FleetLoad> load;
  private final Map<String, AdmissionQueue> queues = new TreeMap<>();
  private final Map<Long, AdmissionTicket> waiting = new HashMap<>();
  private Predicate<String> cutOff = service -> false;
  private @Nullable Executor loop;
  private final Map<String, Integer> ended = new HashMap<>();
  private final FullTargets fullTargets = new FullTargets();
  private boolean wakeIsDue;
  private long lastId;

  AdmissionQueues(Supplier<FleetLoad> load) {
    this.load = load;
  }

  /** Starts to look at the queues whenever something changes; until then only the timer does. */
  void start(Executor eventLoop, Predicate<String> isCutOff) {
    loop = eventLoop;
    cutOff = isCutOff;
  }

  /** Returns the number of waiting requests by service and rank, without those of 0. */
  public Map<FleetLoad.Waiting, Integer> waitingByRank() {
    Map<FleetLoad.Waiting, Integer> counts = new HashMap<>();
    queues.forEach(
        (service, queue) -> {
          int[] byRank = queue.waitingByRank();
          for (int rank = 0; rank < byRank.length; rank++) {
            if (byRank[rank] > 0) {
              counts.put(new FleetLoad.Waiting(service, rank), byRank[rank]);
            }
          }
        });
    return counts;
  }

  /**
   * Picks a server by a rule, preferably one that is not known to refuse for want of room. If all
   * are, none is picked, except for a probe now and then.
   *
   * @param pick picks one of the servers, without those of the given ids
   */
  Optional<Fleet.Member> pickWithRoom(
      String service,
      List<Fleet.Member> ready,
      Set<String> avoided,
      long now,
      BiFunction<List<Fleet.Member>, Set<String>, Optional<Fleet.Member>> pick) {
    List<String> ids = ready.stream().map(member -> member.statement().id()).toList();
    // While none waits, a refusal may be that of one target, and the next request tells.
    boolean overloaded = queue(service).length() > 0;
    Set<String> full = overloaded ? fullTargets.among(ids, now) : Set.of();
    if (!full.isEmpty()) {
      Set<String> withFull = new HashSet<>(avoided);
      withFull.addAll(full);
      Optional<Fleet.Member> free = pick.apply(ready, withFull);
      if (free.isPresent() || !fullTargets.mayProbe(service, now)) {
        return free;
      }
    }
    return pick.apply(ready, avoided);
  }

  long nextId() {
    return ++lastId;
  }

  AdmissionQueue queue(String service) {
    return queues.computeIfAbsent(service, AdmissionQueue::new);
  }

  void add(WaitingRequest request, AdmissionTicket ticket) {
    waiting.put(request.id(), ticket);
  }

  void remove(WaitingRequest request) {
    waiting.remove(request.id());
  }

  /** Refuses a request whose place another one has taken. */
  void displace(WaitingRequest request) {
    AdmissionTicket ticket = waiting.get(request.id());
    if (ticket != null) {
      ticket.displace();
    }
  }

  /** Returns the targets that refuse requests for want of room. */
  FullTargets fullTargets() {
    return fullTargets;
  }

  /** Records that a target has ended a request, and looks at the queue of its service soon. */
  void requestEnded(String service, String target) {
    fullTargets.recordEnded(target);
    if (!waiting.isEmpty()) {
      ended.merge(service, 1, Integer::sum);
      wake();
    }
  }

  /** Looks at the queues soon, because a target may have got room. */
  public void wake() {
    if (loop != null && !wakeIsDue && !waiting.isEmpty()) {
      wakeIsDue = true;
      loop.execute(
          () -> {
            wakeIsDue = false;
            dispatch(System.nanoTime());
          });
    }
  }

  /**
   * Lets waiting requests look for targets, in the order of their queues.
   *
   * @param now current time, a {@link System#nanoTime}
   */
  void dispatch(long now) {
    if (!waiting.isEmpty()) {
      List.copyOf(queues.values()).forEach(queue -> dispatch(queue, now));
    }
    ended.clear();
  }

  private void dispatch(AdmissionQueue queue, long now) {
    String service = queue.service();
    // Another VM that gets a request has its own view of the more urgent ones.
    FleetLoad view = cutOff.test(service) ? FleetLoad.NONE : load.get();
    QueuePass pass = new QueuePass(ended.getOrDefault(service, 0));
    Optional<WaitingRequest> next = queue.next(pass, view, now);
    while (next.isPresent()) {
      WaitingRequest request = next.get();
      AdmissionTicket ticket = waiting.get(request.id());
      if (ticket == null) {
        queue.remove(request, now);
      } else if (!ticket.takeTurn()) {
        pass.recordFailed(request);
      } else {
        pass.recordLeft();
      }
      next = queue.next(pass, view, now);
    }
  }
}
