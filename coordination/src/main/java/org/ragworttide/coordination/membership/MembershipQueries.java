package org.ragworttide.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;

/**
 * Reads this VM's view of the fleet.
 *
 * <p>Invariant: the version of the list never goes back. Views of different VMs may differ for
 * seconds; nothing may rest on their being equal. Called on the coordination thread only.
 */
public interface MembershipQueries {

  /** Returns the newest list, if there is one yet. */
  Optional<VmList> list();

  /** Returns the newest lists with consecutive versions, oldest first. */
  List<VmList> recentLists();

  /** Returns the question by which a VM without a list gets the part of one that it lacks. */
  MembershipMessage.ListRequest listQuestion();

  /** Returns whether the VM seems to be out of reach at the moment. */
  boolean isSuspected(VmId vm);

  /** Returns the run of the VM's process that was heard last. */
  Optional<Incarnation> incarnationOf(VmId vm);

  /** Returns the events counted since the start. */
  MembershipCounters counters();
}
