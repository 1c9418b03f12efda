package org.clementinesail.core.locality;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.clementinesail.core.locality.ServiceFigures.DataCentre;

/**
 * Decides which share of each data centre's demand goes to each other one.
 *
 * <p>Work stays in its data centre up to what the targets there serve in time. Only the excess
 * leaves, in proportion to the free capacity of the others. A data centre either sends or receives,
 * so two overloaded ones exchange nothing. All VMs decide by the same figures, each for itself.
 */
public final class LocalityPlanner {
  /** Figures older than this count as missing; the same as for the load of all VMs. */
  private static final long VALID_NANOS = 2_000_000_000L;

  /** Smallest change of a share that is applied; random arrivals change figures by more. */
  private static final double MIN_BAND = 0.02;

  /** Smallest change of a share by figures that are as old as allowed. */
  private static final double MAX_BAND = 0.5;

  /**
   * Slots kept free for random arrivals, in square roots of the slots. The number of requests in
   * progress varies by about the square root of its mean, so many slots can be used more fully.
   */
  static final double RESERVE = 0.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Shares below this come from rounding. */
  private static final double ROUNDING = 1e-6;

  private LocalityPlanner() {}

  /**
   * Returns the shares for a set of services. A service has none if its figures are too old or no
   * data centre has targets.
   *
   * @param services figures of the services
   * @param links state of the links
   * @param previous shares in force; a share stays as it is unless it changes by more than a band
   *     that grows with the age of the figures
   * @param ageNanos age of the figures in nanoseconds
   */
  public static LocalityShares plan(
      Collection<ServiceFigures> services, Links links, LocalityShares previous, long ageNanos) {
    if (ageNanos > VALID_NANOS) {
      return LocalityShares.NONE;
    }
    double band = Math.max(MIN_BAND, MAX_BAND * ageNanos / VALID_NANOS);
    Map<String, Map<String, Map<String, Double>>> rows = new HashMap<>();
    for (ServiceFigures service : services) {
      if (service.totalSlots() > 0) {
        rows.put(service.service(), new Plan(service, links, previous, band).rows());
      }
    }
    return new LocalityShares(rows);
  }

  /** The decision for one service. */
  private static final class Plan {
    private final ServiceFigures figures;
    private final Links links;
    private final LocalityShares previous;
    private final double band;
    private final Map<String, Double> loads;
    private final Map<String, Double> limits = new HashMap<>();

    Plan(ServiceFigures figures, Links links, LocalityShares previous, double band) {
      this.figures = figures;
      this.links = links;
      this.previous = previous;
      this.band = band;
      this.loads = OfferedLoad.byDataCentre(figures, previous);
      double total = loads.values().stream().mapToDouble(Double::doubleValue).sum();
      // If the load of all exceeds what all serve in time, each serves the same part of its slots.
      double level = Math.min(1, total / figures.totalSlots());
      figures
          .dataCentres()
          .forEach(
              (name, dataCentre) -> {
                double usable = dataCentre.slots() - RESERVE * Math.sqrt(dataCentre.slots());
                limits.put(name, Math.max(usable, level * dataCentre.slots()));
              });
    }

    Map<String, Map<String, Double>> rows() {
      Map<String, Map<String, Double>> rows = new HashMap<>();
      for (String from : figures.dataCentres().keySet()) {
        rows.put(from, row(from));
      }
      return rows;
    }

    private Map<String, Double> row(String from) {
      boolean lost = figures.slots(from) <= 0;
      Map<String, Double> next = lost ? lostRow(from) : excessRow(from);
      Map<String, Double> current = previous.shares(figures.service(), from);
      boolean keepsSome = lost && previous.share(figures.service(), from, from) > ROUNDING;
      return !keepsSome && mayStay(from, current, next) ? current : next;
    }

    /** Returns whether the row in force is possible and within the band of the new one. */
    private boolean mayStay(String from, Map<String, Double> current, Map<String, Double> next) {
      if (next.isEmpty() && load(from) < limit(from) * (1 - band)) {
        return false;
      }
      return figures.dataCentres().keySet().stream()
          .allMatch(
              to ->
                  Math.abs(current.getOrDefault(to, 0.0) - next.getOrDefault(to, 0.0)) <= band
                      && (!current.containsKey(to)
                          || next.containsKey(to)
                          || (next.isEmpty() && isUsable(from, to) && free(to) > 0)));
    }

    private Map<String, Double> excessRow(String from) {
      Map<String, Double> row = new HashMap<>();
      double load = load(from);
      double excess = load - limit(from);
      double reachable = reachableFree(from);
      if (excess <= 0 || reachable <= 0) {
        return row;
      }
      double totalExcess =
          loads.keySet().stream().mapToDouble(name -> Math.max(0, load(name) - limit(name))).sum();
      for (String to : loads.keySet()) {
        if (isUsable(from, to) && free(to) > 0) {
          double moved = excess * free(to) / Math.max(reachable, totalExcess);
          row.put(to, Math.min(moved / load, linkShare(from, to)));
        }
      }
      return row;
    }

    /** Returns the row of a data centre without targets: all of its demand leaves. */
    private Map<String, Double> lostRow(String from) {
      Map<String, Double> weights = new HashMap<>();
      boolean hasFree = reachableFree(from) > 0;
      for (String to : loads.keySet()) {
        double weight = hasFree ? free(to) : figures.slots(to);
        if (isUsable(from, to) && weight > 0) {
          weights.put(to, weight);
        }
      }
      double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
      weights.replaceAll((to, weight) -> weight / total);
      return weights;
    }

    private double load(String name) {
      return loads.getOrDefault(name, 0.0);
    }

    private double limit(String name) {
      return limits.getOrDefault(name, 0.0);
    }

    private double free(String name) {
      return Math.max(0, limit(name) - load(name));
    }

    private double reachableFree(String from) {
      return loads.keySet().stream().filter(to -> isUsable(from, to)).mapToDouble(this::free).sum();
    }

    private boolean isUsable(String from, String to) {
      if (from.equals(to)) {
        return false;
      }
      Links.Link link = links.link(from, to);
      double callMillis = figures.callSeconds() * MILLIS_PER_SECOND;
      return link.usable() && callMillis + link.delayMillis() <= figures.remainingMillis();
    }

    /** Returns the share of the demand that a link has bandwidth for. */
    private double linkShare(String from, String to) {
      DataCentre sender = figures.dataCentres().get(from);
      double demandBytes =
          sender == null ? 0 : sender.demandPerSecond() * figures.bytesPerRequest();
      double free = Math.max(0, links.link(from, to).freeBytesPerSecond());
      return demandBytes > 0 ? Math.min(1, free / demandBytes) : 1;
    }
  }

  /** Estimates the load that the demand of each data centre causes, in requests in progress. */
  private static final class OfferedLoad {
    private OfferedLoad() {}

    static Map<String, Double> byDataCentre(ServiceFigures figures, LocalityShares shares) {
      Map<String, Double> loads = new HashMap<>();
      double demand =
          figures.dataCentres().values().stream().mapToDouble(DataCentre::demandPerSecond).sum();
      if (figures.callSeconds() > 0 && demand > 0) {
        figures
            .dataCentres()
            .forEach((name, d) -> loads.put(name, d.demandPerSecond() * figures.callSeconds()));
        return loads;
      }
      figures.dataCentres().forEach((name, d) -> loads.put(name, atTargets(figures, d, demand)));
      Map<String, Double> origins = new HashMap<>();
      loads.forEach((name, load) -> origins.put(name, load / staying(figures, shares, name)));
      for (String from : figures.dataCentres().keySet()) {
        shares
            .shares(figures.service(), from)
            .forEach(
                (to, share) ->
                    loads.merge(to, -share * origins.getOrDefault(from, 0.0), Double::sum));
      }
      loads.replaceAll((name, load) -> Math.max(0, load) / staying(figures, shares, name));
      return loads;
    }

    /** Returns the requests at the targets, and those that wait in proportion to the demand. */
    private static double atTargets(ServiceFigures figures, DataCentre dataCentre, double demand) {
      double part =
          demand > 0
              ? dataCentre.demandPerSecond() / demand
              : dataCentre.slots() / figures.totalSlots();
      return dataCentre.inProgress() + figures.waiting() * part;
    }

    /** Returns the share that stays, at least 0.05 because the load is divided by it. */
    private static double staying(ServiceFigures figures, LocalityShares shares, String name) {
      boolean known = shares.isKnown(figures.service(), name);
      return known ? Math.max(0.05, shares.share(figures.service(), name, name)) : 1;
    }
  }
}
