package org.ragworttide.coordination.streams;

import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Identifies a software version of one service, as a hash that VMs exchange.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param value the hash
 */
public record SoftwareVersion(long value) {

  /** Returns the version with the given name of a service. */
  public static SoftwareVersion of(String service, String version) {
    return new SoftwareVersion(Rendezvous.hash("version\n" + service + "\n" + version));
  }

  /**
   * Returns the version of an upstream that states none: one of its own, since it may differ from
   * all others, also from that of the upstream's earlier or later starts.
   */
  public static SoftwareVersion unstated(UpstreamId upstream, long startUnixMillis) {
    return new SoftwareVersion(
        Rendezvous.hash("unstated\n" + upstream.value() + "\n" + startUnixMillis));
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
