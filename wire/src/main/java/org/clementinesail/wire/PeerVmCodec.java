package org.clementinesail.wire;

import java.util.Collection;
import java.util.List;
import org.clementinesail.core.reachability.PeerVm;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.PeerVmImage;
import org.clementinesail.wire.proto.PeerVmList;

/** Converts lists of VMs that carry traffic to and from protobuf. */
public final class PeerVmCodec {
  private PeerVmCodec() {}

  /**
   * Encodes VMs as one frame.
   *
   * @param vms VMs that reach their targets
   */
  public static Frame encode(Collection<PeerVm> vms) {
    PeerVmList.Builder list = PeerVmList.newBuilder();
    vms.forEach(
        vm ->
            list.addVms(
                PeerVmImage.newBuilder()
                    .setName(vm.name())
                    .setAddress(vm.address())
                    .setDataCentre(vm.dataCentre())));
    return Frame.newBuilder().setPeerVms(list).build();
  }

  /**
   * Decodes VMs; those without a valid address are left out.
   *
   * @param list the encoded VMs
   */
  public static List<PeerVm> decode(PeerVmList list) {
    return list.getVmsList().stream()
        .filter(vm -> PeerAddress.parse(vm.getAddress()).isPresent())
        .map(vm -> new PeerVm(vm.getName(), vm.getAddress(), vm.getDataCentre()))
        .toList();
  }
}
