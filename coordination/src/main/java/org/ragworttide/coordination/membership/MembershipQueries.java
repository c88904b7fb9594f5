package org.ragworttide.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;

/**
 * Queries of this VM's view of the fleet.
 *
 * <p>Invariant: the version of the list never decreases. Views of different VMs may differ for
 * seconds; no decision may rely on their equality. Called on the coordination thread only.
 */
public interface MembershipQueries {

  /** Returns the newest list, if there is one yet. */
  Optional<VmList> list();

  /** Returns the newest lists with consecutive versions, oldest first. */
  List<VmList> recentLists();

  /** Returns the request for the next missing part of a list, for a VM that has no list yet. */
  MembershipMessage.ListRequest nextListRequest();

  /** Returns whether the VM currently seems to be unreachable. */
  boolean isSuspected(VmId vm);

  /** Returns the run of the VM's process from which the last message came. */
  Optional<Incarnation> incarnationOf(VmId vm);

  /** Returns the events counted since the start. */
  MembershipCounters counters();
}
