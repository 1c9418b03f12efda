package org.clementinesail.wire;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.clementinesail.core.load.FleetLoad;
import org.clementinesail.core.load.LoadCounts;
import org.clementinesail.core.load.LoadReport;
import org.clementinesail.core.load.LoadSummary;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.ServiceLoad;

/**
 * Converts loads to and from protobuf. Counts of 0 are left out. Decoding checks no ranges, as
 * {@link org.clementinesail.core.load.LoadBounds} does.
 */
public final class LoadCodec {
  private static final double TENTHS = 10;

  private LoadCodec() {}

  /** Identifies the entries of a service and data centre in a message. */
  private record Place(String service, String dataCentre) {}

  /**
   * Encodes the load of one VM as one frame.
   *
   * @param report the load
   * @param dataCentre data centre of the VM; demand of others is encoded with its data centre
   */
  public static Frame encode(LoadReport report, String dataCentre) {
    org.clementinesail.wire.proto.LoadReport.Builder out =
        org.clementinesail.wire.proto.LoadReport.newBuilder()
            .setSequence(report.sequence())
            .setDataCentre(dataCentre);
    new TreeMap<>(report.counts().inProgress())
        .forEach((target, count) -> out.addTargets(target).addInProgress(count));
    services(report.counts(), dataCentre).forEach(out::addServices);
    return Frame.newBuilder().setLoadReport(out).build();
  }

  /**
   * Encodes the load of all VMs as one frame.
   *
   * @param summary the load
   */
  public static Frame encode(LoadSummary summary) {
    org.clementinesail.wire.proto.LoadSummary.Builder out =
        org.clementinesail.wire.proto.LoadSummary.newBuilder()
            .setIncludedSequence(summary.includedSequence())
            .setReportingVms(summary.reportingVms());
    new TreeMap<>(summary.counts().inProgress())
        .forEach((target, count) -> out.addTargets(target).addInProgress(count));
    services(summary.counts(), "").forEach(out::addServices);
    return Frame.newBuilder().setLoadSummary(out).build();
  }

  /**
   * Returns the same summary for another receiver.
   *
   * @param frame frame with a summary
   * @param includedSequence last report of the receiver that is included; 0 for none
   */
  public static Frame forReceiver(Frame frame, long includedSequence) {
    return Frame.newBuilder()
        .setLoadSummary(
            frame.getLoadSummary().toBuilder().setIncludedSequence(includedSequence).build())
        .build();
  }

  private static Iterable<ServiceLoad> services(LoadCounts counts, String dataCentre) {
    Map<Place, ServiceLoad.Builder> services = new HashMap<>();
    Function<Place, ServiceLoad.Builder> create =
        place -> {
          ServiceLoad.Builder load = ServiceLoad.newBuilder().setService(place.service());
          return place.dataCentre().equals(dataCentre)
              ? load
              : load.setDataCentre(place.dataCentre());
        };
    counts
        .demand()
        .forEach(
            (key, rate) ->
                services
                    .computeIfAbsent(new Place(key.service(), key.dataCentre()), create)
                    .setDemandTenths((int) Math.min(Integer.MAX_VALUE, Math.round(rate * TENTHS))));
    counts
        .waiting()
        .forEach(
            (key, count) -> {
              if (count > 0) {
                services
                    .computeIfAbsent(new Place(key.service(), dataCentre), create)
                    .addRanks(key.rank())
                    .addWaiting(count);
              }
            });
    return services.values().stream().map(ServiceLoad.Builder::build).toList();
  }

  /**
   * Decodes the load of one VM.
   *
   * @param report the encoded load
   * @throws CodecException if there are not as many targets as counts, or ranks as counts
   */
  public static LoadReport decode(org.clementinesail.wire.proto.LoadReport report) {
    return new LoadReport(
        report.getSequence(),
        counts(
            report.getTargetsList(),
            report.getInProgressList(),
            report.getServicesList(),
            report.getDataCentre()));
  }

  /**
   * Decodes the load of all VMs.
   *
   * @param summary the encoded load
   * @throws CodecException if there are not as many targets as counts, or ranks as counts
   */
  public static LoadSummary decode(org.clementinesail.wire.proto.LoadSummary summary) {
    return new LoadSummary(
        summary.getIncludedSequence(),
        summary.getReportingVms(),
        counts(
            summary.getTargetsList(), summary.getInProgressList(), summary.getServicesList(), ""));
  }

  private static LoadCounts counts(
      List<Integer> targets,
      List<Integer> inProgress,
      List<ServiceLoad> services,
      String dataCentre) {
    requireSameLength("in_progress", targets, inProgress);
    Map<Integer, Integer> counts = new HashMap<>();
    for (int i = 0; i < targets.size(); i++) {
      counts.put(targets.get(i), inProgress.get(i));
    }
    Map<FleetLoad.Waiting, Integer> waiting = new HashMap<>();
    Map<FleetLoad.Demand, Double> demand = new HashMap<>();
    for (ServiceLoad load : services) {
      requireSameLength("waiting", load.getRanksList(), load.getWaitingList());
      for (int i = 0; i < load.getRanksCount(); i++) {
        waiting.put(new FleetLoad.Waiting(load.getService(), load.getRanks(i)), load.getWaiting(i));
      }
      String place = load.getDataCentre().isEmpty() ? dataCentre : load.getDataCentre();
      if (load.getDemandTenths() != 0) {
        demand.put(new FleetLoad.Demand(load.getService(), place), load.getDemandTenths() / TENTHS);
      }
    }
    return new LoadCounts(counts, waiting, demand);
  }

  private static void requireSameLength(String field, List<?> keys, List<?> values) {
    if (keys.size() != values.size()) {
      throw new CodecException(
          field + " has " + values.size() + " values for " + keys.size() + " keys");
    }
  }
}
