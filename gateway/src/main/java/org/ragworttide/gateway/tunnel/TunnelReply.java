package org.ragworttide.gateway.tunnel;

import java.util.Optional;

/** Answer of a VM that was asked for a tunnel. Its ordinal is its encoding. Immutable. */
public enum TunnelReply {
  /** The tunnel is open: what is sent now reaches the upstream. */
  OPEN,
  /** The upstream's machine has refused the connection. */
  REFUSED,
  /** The upstream has not answered in time. */
  SILENT,
  /** The upstream is not known, or has stated that it wants no requests of the asked VM. */
  UNAVAILABLE,
  /** The asked VM is stopping or carries as many tunnels as it may. */
  BUSY;

  /** Returns the reply with the encoding, empty if there is none. */
  static Optional<TunnelReply> of(int encoding) {
    return encoding >= 0 && encoding < values().length
        ? Optional.of(values()[encoding])
        : Optional.empty();
  }
}
