package org.clementinesail.core.reachability;

/**
 * Another VM that carries traffic and takes requests of VMs that do not reach a target.
 *
 * @param name name of the VM
 * @param address IP address and port where it takes such requests
 * @param dataCentre data centre of the VM
 */
public record PeerVm(String name, String address, String dataCentre) {

  /** Returns an id that no target has, for records of where a request was sent. */
  public String targetId() {
    return "vm " + name;
  }
}
