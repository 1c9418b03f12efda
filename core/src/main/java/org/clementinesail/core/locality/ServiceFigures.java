package org.clementinesail.core.locality;

import java.util.Map;

/**
 * Demand and capacity of one service, as known at one moment.
 *
 * @param service name of the service
 * @param callSeconds measured time of a call in seconds; 0 if unknown, then the requests in
 *     progress stand for the demand
 * @param waiting requests that wait for a target at any VM
 * @param remainingMillis time that a new request has until its answer is late, in milliseconds
 * @param bytesPerRequest bytes that a request sends over a link between data centres; 0 if unknown
 * @param dataCentres figures by data centre, also of those that have demand but no targets
 */
public record ServiceFigures(
    String service,
    double callSeconds,
    int waiting,
    double remainingMillis,
    double bytesPerRequest,
    Map<String, DataCentre> dataCentres) {

  /**
   * Figures of one data centre.
   *
   * @param demandPerSecond requests per second that its VMs receive; 0 if unknown
   * @param slots requests that its targets can run at once; 0 without targets
   * @param inProgress requests of all VMs at its targets
   */
  public record DataCentre(double demandPerSecond, double slots, double inProgress) {}

  /** Makes the map immutable by copying it. */
  public ServiceFigures {
    dataCentres = Map.copyOf(dataCentres);
  }

  /** Returns the slots of a data centre; 0 if it is unknown. */
  double slots(String name) {
    DataCentre dataCentre = dataCentres.get(name);
    return dataCentre == null ? 0 : dataCentre.slots();
  }

  /** Returns the slots of all data centres. */
  double totalSlots() {
    return dataCentres.values().stream().mapToDouble(DataCentre::slots).sum();
  }
}
