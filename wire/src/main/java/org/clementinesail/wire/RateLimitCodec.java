package org.clementinesail.wire;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinesail.core.ratelimits.Permits;
import org.clementinesail.core.ratelimits.RateLimit;
import org.clementinesail.wire.proto.ClosedGrant;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.PermitDemand;
import org.clementinesail.wire.proto.PermitGrant;
import org.clementinesail.wire.proto.PermitGrants;
import org.clementinesail.wire.proto.RateLimitImage;
import org.clementinesail.wire.proto.RateLimitList;
import org.clementinesail.wire.proto.ServiceDemand;

/**
 * Converts rate limits of targets and permits to and from protobuf. Points in time are sent as
 * ages, as in {@link FleetCodec}.
 */
public final class RateLimitCodec {
  private RateLimitCodec() {}

  /**
   * Encodes limits as one frame.
   *
   * @param limits records of limits
   * @param now current monotonic time in nanoseconds
   */
  public static Frame encode(Collection<RateLimit> limits, long now) {
    RateLimitList.Builder list = RateLimitList.newBuilder();
    limits.forEach(
        limit ->
            list.addLimits(
                RateLimitImage.newBuilder()
                    .setTarget(limit.target())
                    .setStartedAtMillis(limit.startedAtMillis())
                    .setLimited(limit.limited())
                    .setPerSecond(limit.perSecond())
                    .setAgeMillis(FleetCodec.ageMillis(limit.knownAt(), now))));
    return Frame.newBuilder().setRateLimits(list).build();
  }

  /**
   * Decodes limits; those that are not finite numbers of 0 or more are left out.
   *
   * @param list the encoded limits
   * @param now current monotonic time in nanoseconds
   */
  public static List<RateLimit> decode(RateLimitList list, long now) {
    return list.getLimitsList().stream()
        .filter(image -> Double.isFinite(image.getPerSecond()) && image.getPerSecond() >= 0)
        .map(
            image ->
                new RateLimit(
                    image.getTarget(),
                    image.getStartedAtMillis(),
                    image.getLimited(),
                    image.getPerSecond(),
                    FleetCodec.timeFromAge(image.getAgeMillis(), now)))
        .toList();
  }

  /**
   * Encodes what a VM needs as one frame.
   *
   * @param perSecond requests per second by service
   * @param closed grants that are used up or have expired
   */
  public static Frame encodeDemand(
      Map<String, Double> perSecond, Collection<Permits.Closed> closed) {
    PermitDemand.Builder demand = PermitDemand.newBuilder();
    perSecond.forEach(
        (service, rate) ->
            demand.addDemands(ServiceDemand.newBuilder().setService(service).setPerSecond(rate)));
    closed.forEach(
        grant ->
            demand.addClosed(ClosedGrant.newBuilder().setId(grant.id()).setUnused(grant.unused())));
    return Frame.newBuilder().setPermitDemand(demand).build();
  }

  /**
   * Decodes the requests per second of a VM by service; those that are not finite are left out.
   *
   * @param demand the encoded message
   */
  public static Map<String, Double> demands(PermitDemand demand) {
    Map<String, Double> perSecond = new HashMap<>();
    for (ServiceDemand entry : demand.getDemandsList()) {
      if (Double.isFinite(entry.getPerSecond())) {
        perSecond.put(entry.getService(), entry.getPerSecond());
      }
    }
    return perSecond;
  }

  /**
   * Decodes the grants of a VM that are used up or have expired.
   *
   * @param demand the encoded message
   */
  public static List<Permits.Closed> closed(PermitDemand demand) {
    return demand.getClosedList().stream()
        .map(grant -> new Permits.Closed(grant.getId(), grant.getUnused()))
        .toList();
  }

  /**
   * Encodes grants as one frame.
   *
   * @param grants grants for one VM
   */
  public static Frame encodeGrants(Collection<Permits.Grant> grants) {
    PermitGrants.Builder out = PermitGrants.newBuilder();
    grants.forEach(
        grant ->
            out.addGrants(
                PermitGrant.newBuilder()
                    .setId(grant.id())
                    .setTarget(grant.target())
                    .setStartedAtMillis(grant.startedAtMillis())
                    .setCount(grant.count())));
    return Frame.newBuilder().setPermitGrants(out).build();
  }

  /**
   * Decodes grants.
   *
   * @param grants the encoded grants
   */
  public static List<Permits.Grant> decode(PermitGrants grants) {
    return grants.getGrantsList().stream()
        .map(
            grant ->
                new Permits.Grant(
                    grant.getId(), grant.getTarget(), grant.getStartedAtMillis(), grant.getCount()))
        .toList();
  }
}
