package org.clementinesail.core.replication;

/**
 * Identity of one replica: a VM together with the disk that holds its state.
 *
 * <p>A VM whose disk was lost comes back with another disk number and is another replica.
 *
 * @param vm name of the VM
 * @param diskId random number written when the data folder was created; never 0
 */
public record ReplicaId(String vm, long diskId) {
  @Override
  public String toString() {
    return vm + "/" + Long.toHexString(diskId);
  }
}
