package org.ragworttide.coordination.membership;

import java.util.Objects;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Entry of one VM in the published list.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the VM
 * @param zone its availability zone
 * @param state whether it accepts new work
 * @param address host and port of its peer listener, as {@code 127.0.0.1:7400}
 */
public record VmEntry(VmId id, ZoneId zone, VmState state, String address) {

  /** Checks that nothing is missing. */
  public VmEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(address, "address");
  }
}
