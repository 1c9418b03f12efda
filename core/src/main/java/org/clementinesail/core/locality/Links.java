package org.clementinesail.core.locality;

/** State of the links between data centres. */
@FunctionalInterface
public interface Links {
  /**
   * State of the link from one data centre to another.
   *
   * @param usable whether requests may use it; false for a cut or degraded link
   * @param delayMillis time that it adds to a request, in milliseconds
   * @param freeBytesPerSecond bandwidth that is not in use; infinite if unknown
   */
  record Link(boolean usable, double delayMillis, double freeBytesPerSecond) {}

  /**
   * Returns the state of a link.
   *
   * @param from data centre of the VMs that send
   * @param to data centre of the targets
   */
  Link link(String from, String to);
}
