package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmEntry;

/**
 * Messages about the membership view.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Checks whether a peer is reachable.
   *
   * @param incarnation the run of the sender's process
   * @param probeId number that identifies the probe
   * @param listVersion version of the sender's newest VM list, zero if it has none
   * @param suspicions VMs that the sender itself could not reach recently
   */
  record Probe(Incarnation incarnation, int probeId, long listVersion, List<Suspicion> suspicions)
      implements MembershipMessage {

    /** Copies the list. */
    public Probe {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * Answer to a probe.
   *
   * @param incarnation the run of the sender's process
   * @param probeId number of the answered probe
   * @param listVersion version of the sender's newest VM list, zero if it has none
   * @param suspicions VMs that the sender itself could not reach recently
   */
  record Reply(Incarnation incarnation, int probeId, long listVersion, List<Suspicion> suspicions)
      implements MembershipMessage {

    /** Copies the list. */
    public Reply {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * Run of a VM's process that a peer could not reach.
   *
   * @param vm the VM
   * @param incarnation the last known run of its process
   */
  record Suspicion(VmId vm, Incarnation incarnation) {}

  /**
   * Requests newer VM lists.
   *
   * @param knownVersion version of the newest list that the sender has, zero for none
   * @param pageVersion version of the list whose page is requested, zero for changes
   * @param page the requested page
   */
  record ListRequest(long knownVersion, long pageVersion, int page) implements MembershipMessage {}

  /**
   * Carries the changes between consecutive lists, oldest first.
   *
   * @param changes one entry for each version
   */
  record ListChanges(List<ListChange> changes) implements MembershipMessage {

    /** Copies the list. */
    public ListChanges {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Difference between a list and the previous one.
   *
   * @param version the list's version, one above the previous list
   * @param entries added or changed VMs
   * @param removed VMs that are no longer listed
   */
  record ListChange(long version, List<VmEntry> entries, List<VmId> removed) {

    /** Copies the lists. */
    public ListChange {
      entries = List.copyOf(entries);
      removed = List.copyOf(removed);
    }
  }

  /**
   * Carries one page of a complete list.
   *
   * @param version the list's version
   * @param page number of this page, counted from zero
   * @param pages number of pages
   * @param entries the VMs of this page
   */
  record ListPage(long version, int page, int pages, List<VmEntry> entries)
      implements MembershipMessage {

    /** Copies the list. */
    public ListPage {
      entries = List.copyOf(entries);
    }
  }
}
