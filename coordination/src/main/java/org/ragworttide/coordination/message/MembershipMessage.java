package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmEntry;

/**
 * Messages of the membership view.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Asks a peer for a sign of life.
   *
   * @param incarnation the sender's run
   * @param probeId identifies the probe
   * @param listVersion the sender's newest VM list, zero if it has none
   * @param suspicions what the sender itself could not reach lately
   */
  record Probe(Incarnation incarnation, int probeId, long listVersion, List<Suspicion> suspicions)
      implements MembershipMessage {

    /** Copies the list. */
    public Probe {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * Answers a probe.
   *
   * @param incarnation the sender's run
   * @param probeId the probe that is answered
   * @param listVersion the sender's newest VM list, zero if it has none
   * @param suspicions what the sender itself could not reach lately
   */
  record Reply(Incarnation incarnation, int probeId, long listVersion, List<Suspicion> suspicions)
      implements MembershipMessage {

    /** Copies the list. */
    public Reply {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * One run of a VM that a peer could not reach.
   *
   * @param vm the VM
   * @param incarnation its run, as last known
   */
  record Suspicion(VmId vm, Incarnation incarnation) {}

  /**
   * Asks for newer VM lists.
   *
   * @param knownVersion the newest list the sender has, zero for none
   * @param pageVersion the list whose page is asked for, zero for changes
   * @param page the page asked for
   */
  record ListRequest(long knownVersion, long pageVersion, int page) implements MembershipMessage {}

  /**
   * Carries what changed from list to list, oldest first.
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
   * The difference of a list to the one before.
   *
   * @param version the list's version; the one before has one less
   * @param entries added or changed VMs
   * @param removed VMs that are listed no more
   */
  record ListChange(long version, List<VmEntry> entries, List<VmId> removed) {

    /** Copies the lists. */
    public ListChange {
      entries = List.copyOf(entries);
      removed = List.copyOf(removed);
    }
  }

  /**
   * Carries a part of a whole list.
   *
   * @param version the list's version
   * @param page this part, counted from zero
   * @param pages how many parts there are
   * @param entries the VMs of this part
   */
  record ListPage(long version, int page, int pages, List<VmEntry> entries)
      implements MembershipMessage {

    /** Copies the list. */
    public ListPage {
      entries = List.copyOf(entries);
    }
  }
}
