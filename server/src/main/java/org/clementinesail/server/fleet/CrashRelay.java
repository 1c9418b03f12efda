package org.clementinesail.server.fleet;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.clementinesail.core.crashes.CrashRecord;
import org.clementinesail.core.crashes.PartCrashes;
import org.clementinesail.wire.CrashCodec;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.proto.PartCrashList;

/**
 * Passes records of crashes on between the VMs that carry traffic, which have no connections to
 * each other. Keeps them too, so that a VM that starts learns which parts are refused. Confined to
 * the event loop.
 *
 * <pre>{@code
 * CrashRelay relay = new CrashRelay(loop, network, publisher::trafficVms);
 * relay.receive(frame.getPartCrashes());
 * }</pre>
 */
public final class CrashRelay {
  /** Time for which changes are collected, as all VMs report a crash at the same moment. */
  private static final long SEND_DELAY_MS = 5;

  private final EventLoop loop;
  private final PeerNetwork network;
  private final Supplier<Collection<String>> trafficVms;
  private final PartCrashes parts = new PartCrashes();
  private final Set<Long> changed = new LinkedHashSet<>();

  /**
   * Creates a relay without records.
   *
   * @param loop event loop that all methods are called on
   * @param network connections to other VMs
   * @param trafficVms supplies the names of the VMs that carry traffic
   */
  public CrashRelay(EventLoop loop, PeerNetwork network, Supplier<Collection<String>> trafficVms) {
    this.loop = loop;
    this.network = network;
    this.trafficVms = trafficVms;
  }

  /**
   * Adds records, and passes on those that tell something new.
   *
   * @param list records of one VM
   */
  public void receive(PartCrashList list) {
    long now = System.nanoTime();
    for (CrashRecord record : CrashCodec.decode(list, now)) {
      if (parts.merge(record, now)) {
        if (changed.isEmpty()) {
          loop.schedule(this::sendChanges, SEND_DELAY_MS, TimeUnit.MILLISECONDS);
        }
        changed.add(record.key());
      }
    }
  }

  /**
   * Sends all records to a VM that has just subscribed.
   *
   * @param vm name of the VM
   */
  public void sendAll(String vm) {
    if (!parts.isEmpty()) {
      network.send(vm, CrashCodec.encode(parts.records(), System.nanoTime()));
    }
  }

  private void sendChanges() {
    List<CrashRecord> records =
        parts.records().stream().filter(record -> changed.contains(record.key())).toList();
    changed.clear();
    var frame = CrashCodec.encode(records, System.nanoTime());
    trafficVms.get().forEach(vm -> network.send(vm, frame));
  }
}
