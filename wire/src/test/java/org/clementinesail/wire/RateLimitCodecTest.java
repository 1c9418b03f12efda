package org.clementinesail.wire;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.ratelimits.Permits;
import org.clementinesail.core.ratelimits.RateLimit;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.wire.proto.PermitDemand;
import org.clementinesail.wire.proto.RateLimitImage;
import org.clementinesail.wire.proto.RateLimitList;
import org.clementinesail.wire.proto.ServiceDemand;
import org.testng.annotations.Test;

/** Tests that limits, permits and VMs arrive as they were sent, and that invalid ones do not. */
public final class RateLimitCodecTest {
  private static final long NOW = TimeUnit.SECONDS.toNanos(100);

  /** Times become ages and are times of the receiver's clock again. */
  @Test
  public void limitsArriveWithTheirAge() {
    long age = TimeUnit.MILLISECONDS.toNanos(250);
    RateLimit limited = new RateLimit("t1", 17, true, 1.9, NOW - age);
    RateLimit ended = new RateLimit("t2", 18, false, 0, NOW);
    RateLimitList list = RateLimitCodec.encode(List.of(limited, ended), NOW).getRateLimits();
    assertEquals(
        RateLimitCodec.decode(list, 0),
        List.of(new RateLimit("t1", 17, true, 1.9, -age), new RateLimit("t2", 18, false, 0, 0)));
  }

  /** A limit that is no number of 0 or more would stop all requests, or allow any. */
  @Test
  public void invalidRatesAreLeftOut() {
    RateLimitList.Builder list = RateLimitList.newBuilder();
    PermitDemand.Builder demand = PermitDemand.newBuilder();
    for (double rate : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1}) {
      list.addLimits(RateLimitImage.newBuilder().setLimited(true).setPerSecond(rate));
    }
    for (double rate : new double[] {Double.NaN, Double.POSITIVE_INFINITY}) {
      demand.addDemands(ServiceDemand.newBuilder().setService("s" + rate).setPerSecond(rate));
    }
    assertEquals(RateLimitCodec.decode(list.build(), NOW), List.of());
    assertEquals(RateLimitCodec.demands(demand.build()), Map.of());
  }

  /** Demand, ended grants and new ones arrive as they were sent. */
  @Test
  public void permitsArrive() {
    List<Permits.Closed> closed = List.of(new Permits.Closed(Long.MAX_VALUE, 2));
    PermitDemand demand = RateLimitCodec.encodeDemand(Map.of("s", 7.5), closed).getPermitDemand();
    assertEquals(RateLimitCodec.demands(demand), Map.of("s", 7.5));
    assertEquals(RateLimitCodec.closed(demand), closed);
    List<Permits.Grant> grants = List.of(new Permits.Grant(5, "t", 17, 3));
    assertEquals(
        RateLimitCodec.decode(RateLimitCodec.encodeGrants(grants).getPermitGrants()), grants);
  }

  /** Requests must not be sent to a VM whose address cannot be read. */
  @Test
  public void vmsWithoutAddressAreLeftOut() {
    PeerVm valid = new PeerVm("vm1", "10.0.0.1:7341", "a");
    List<PeerVm> vms = List.of(valid, new PeerVm("vm2", "", "a"), new PeerVm("vm3", "x", "b"));
    assertEquals(PeerVmCodec.decode(PeerVmCodec.encode(vms).getPeerVms()), List.of(valid));
  }
}
