package org.ragworttide.daemon.peer;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Identity under which this daemon introduces itself to its peers.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param fleet name of the fleet, which must be equal on all peers
 * @param vm this VM
 * @param incarnation this run of the process
 */
public record PeerIdentity(String fleet, VmId vm, Incarnation incarnation) {}
