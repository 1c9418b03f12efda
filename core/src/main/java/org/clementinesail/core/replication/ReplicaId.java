package org.clementinesail.core.replication;

/**
 * Identity of one replica: a VM and the disk that holds its state.
 *
 * <p>A VM that lost its disk returns with another disk id and counts as another replica.
 *
 * @param vm name of the VM
 * @param diskId random number saved when the data folder was created; 0 only in the receiver of a
 *     message, where it matches any disk
 */
public record ReplicaId(String vm, long diskId) {
  @Override
  public String toString() {
    return vm + "/" + Long.toHexString(diskId);
  }
}
