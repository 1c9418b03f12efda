package org.clementinesail.server.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.wire.PeerNetwork;
import org.clementinesail.wire.PeerVmCodec;
import org.clementinesail.wire.proto.Subscribe;

/**
 * Tells the VMs that carry traffic, which have no connections to each other, of some others that
 * reach their targets. Confined to the event loop.
 */
public final class PeerDirectory {
  /** Number of VMs in an answer; enough to share the requests of a VM between them. */
  private static final int MAX_LISTED = 16;

  /** How long a VM counts after its last message; it sends one about every second. */
  private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(3);

  private record Entry(PeerVm vm, boolean cutOff, long heardAt) {}

  private final PeerNetwork network;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Random random = new Random();

  /**
   * Creates a directory without VMs.
   *
   * @param network connections to other VMs
   */
  public PeerDirectory(PeerNetwork network) {
    this.network = network;
  }

  /**
   * Records what a VM states about itself, and sends it others if it asks for them.
   *
   * @param vm name of the VM
   * @param subscribe its message
   */
  public void onSubscribe(String vm, Subscribe subscribe) {
    long now = System.nanoTime();
    if (!subscribe.getRelayAddress().isEmpty()) {
      PeerVm peer = new PeerVm(vm, subscribe.getRelayAddress(), subscribe.getDataCentre());
      entries.put(vm, new Entry(peer, subscribe.getCutOff(), now));
    }
    if (subscribe.getWantsPeers()) {
      network.send(vm, PeerVmCodec.encode(others(vm, now)));
    }
  }

  /** Returns how many VMs state that they reach no target of some service. */
  public int cutOffCount() {
    removeOutdated(System.nanoTime());
    return (int) entries.values().stream().filter(Entry::cutOff).count();
  }

  private void removeOutdated(long now) {
    entries.values().removeIf(entry -> now - entry.heardAt() > VALID_NANOS);
  }

  private List<PeerVm> others(String vm, long now) {
    removeOutdated(now);
    List<PeerVm> others = new ArrayList<>();
    entries.forEach(
        (name, entry) -> {
          if (!name.equals(vm) && !entry.cutOff()) {
            others.add(entry.vm());
          }
        });
    Collections.shuffle(others, random);
    return others.subList(0, Math.min(MAX_LISTED, others.size()));
  }
}
