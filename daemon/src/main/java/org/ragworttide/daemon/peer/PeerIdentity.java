package org.ragworttide.daemon.peer;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Tells peers who this daemon is.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param fleet the fleet's name, which peers must share
 * @param vm this VM
 * @param incarnation this run of the process
 */
public record PeerIdentity(String fleet, VmId vm, Incarnation incarnation) {}
