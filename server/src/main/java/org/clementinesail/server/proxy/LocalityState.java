package org.clementinesail.server.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.clementinesail.core.desired.DesiredState;
import org.clementinesail.core.desired.Service;
import org.clementinesail.core.fleet.Fleet;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.locality.FigureBuilder;
import org.clementinesail.core.locality.Links;
import org.clementinesail.core.locality.LocalityPlanner;
import org.clementinesail.core.locality.LocalityShares;
import org.clementinesail.core.locality.ServiceFigures;
import org.clementinesail.core.paths.LinkHealth;

/**
 * The shares of demand that leave a data centre, as this VM computes them. Confined to the event
 * loop.
 */
final class LocalityState {
  /** Summaries of the load arrive at this interval; it is also the age of the reports in them. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Delay of a request to another data centre; the same as in the planning of paths. */
  private static final double LINK_DELAY_MILLIS = 30;

  private static final int FIRST_ERROR_STATUS = 400;

  /** A single call that a caller reads slowly must not look like a loss of capacity. */
  private static final double MAX_CALL_FACTOR = 4;

  /** Part of a new value in the moving averages of call times. */
  private static final double NEW_VALUE_WEIGHT = 0.05;

  private static final double NANOS_PER_SECOND = 1e9;

  private final String dataCentre;
  private final LinkHealth linkHealth;
  private final RandomGenerator random;
  private final Set<String> dataCentres = new HashSet<>();
  private final Map<String, Double> callSeconds = new HashMap<>();
  private FleetLoad planned = FleetLoad.NONE;
  private List<ServiceFigures> figures = List.of();
  private long plannedAt;
  private LocalityShares shares = LocalityShares.NONE;
  private Listener listener = change -> {};

  /** Receives changes of the shares of this VM's data centre. */
  interface Listener {
    /** Called on the event loop after a change. */
    void onChange(Change change);
  }

  /**
   * A changed share.
   *
   * @param figures figures of the service that led to the change
   * @param share new share, from 0 to 1
   * @param ageNanos age of the figures in nanoseconds
   */
  record Change(ServiceFigures figures, String from, String to, double share, long ageNanos) {}

  /** Creates a state without shares; parameters are those of {@link RoutingState}. */
  LocalityState(String dataCentre, LinkHealth linkHealth, RandomGenerator random) {
    this.dataCentre = dataCentre;
    this.linkHealth = linkHealth;
    this.random = random;
    dataCentres.add(dataCentre);
  }

  /** Replaces the receiver of changes. */
  void listener(Listener next) {
    listener = next;
  }

  /** Records an attempt that has been answered now, if it was a call that a server has served. */
  void recordCall(Attempt attempt, int status) {
    // Refusals and errors may take no time at all.
    if (attempt.peer() != null || !attempt.path().isEmpty() || status >= FIRST_ERROR_STATUS) {
      return;
    }
    String service = attempt.target().service();
    double seconds = (System.nanoTime() - attempt.sentAt()) / NANOS_PER_SECOND;
    double mean = callSeconds.getOrDefault(service, seconds);
    double next = Math.min(seconds, MAX_CALL_FACTOR * mean);
    callSeconds.put(service, mean + NEW_VALUE_WEIGHT * (next - mean));
  }

  /**
   * Draws the data centre for a request of a service without engines; empty if the constant
   * penalties apply.
   *
   * @param state desired state, with the service
   * @param now current time in nanoseconds of the monotonic clock
   */
  Optional<String> draw(
      Optional<DesiredState> state, Service service, Fleet fleet, FleetLoad load, long now) {
    refresh(state, fleet, load, now);
    return shares.draw(service.name(), dataCentre, 0, 0, random.nextDouble());
  }

  private void refresh(Optional<DesiredState> state, Fleet fleet, FleetLoad load, long now) {
    if (!load.isFresh(now) || state.isEmpty()) {
      LocalityShares previous = shares;
      shares = LocalityShares.NONE;
      reportChanges(previous, now - planned.observedAt());
      figures = List.of();
      planned = FleetLoad.NONE;
      return;
    }
    if (load == planned || (planned != FleetLoad.NONE && now - plannedAt < INTERVAL_NANOS)) {
      return;
    }
    planned = load;
    plannedAt = now;
    fleet.members().forEach(member -> dataCentres.add(member.statement().dataCentre()));
    dataCentres.remove("");
    List<ServiceFigures> next = new ArrayList<>();
    for (Service service : state.get().services()) {
      if (service.engine() == null) {
        next.add(figures(state.get(), service, fleet, load, now));
      }
    }
    figures = next;
    long age = now - load.observedAt() + INTERVAL_NANOS;
    LocalityShares previous = shares;
    shares = LocalityPlanner.plan(figures, links(now), previous, age);
    reportChanges(previous, age);
  }

  private ServiceFigures figures(
      DesiredState state, Service service, Fleet fleet, FleetLoad load, long now) {
    String name = service.name();
    FigureBuilder.Measured measured =
        new FigureBuilder.Measured(
            callSeconds.getOrDefault(name, 0.0), state.shortestTargetLatencyMillis(name));
    return FigureBuilder.build(service, fleet.ready(name, now), load, dataCentres, measured, now);
  }

  /** Returns the links; this VM observes only those of its own data centre. */
  private Links links(long now) {
    return (from, to) ->
        new Links.Link(
            !from.equals(dataCentre) || linkHealth.penaltyMillis(to, now) == 0,
            LINK_DELAY_MILLIS,
            Double.MAX_VALUE);
  }

  private void reportChanges(LocalityShares previous, long age) {
    figures.forEach(service -> reportChanges(service, previous, age));
  }

  private void reportChanges(ServiceFigures figures, LocalityShares previous, long age) {
    for (String to : figures.dataCentres().keySet()) {
      double share = shares.share(figures.service(), dataCentre, to);
      boolean changed = share != previous.share(figures.service(), dataCentre, to);
      if (changed && !to.equals(dataCentre)) {
        listener.onChange(new Change(figures, dataCentre, to, share, age));
      }
    }
  }
}
