package org.ragworttide.coordination.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * The requests of other VMs at each upstream, as the VMs tell each other.
 *
 * <p>Answers the pattern in which all VMs see the same stale report of an upstream and turn to it
 * at once. What a VM has at an upstream is known to the others within a fraction of a second.
 *
 * <p>Invariants: a VM counts with its newest statement only; one that has been silent counts no
 * more. Confined to one thread.
 */
public final class PeerLoads {
  /** Milliseconds after which a silent VM's requests no longer count: several statements. */
  private static final long SILENT_MILLIS = 2_000;

  private final Map<VmId, Statement> statements = new HashMap<>();
  private final Map<Integer, Integer> totals = new HashMap<>();
  private int known;

  private record Statement(
      long incarnation, long sequence, Map<Integer, Integer> inFlight, long atMillis) {}

  /**
   * Takes a VM's statement.
   *
   * @param vm the VM
   * @param incarnation tells its runs apart, later ones are greater
   * @param sequence grows within a run
   * @param inFlight its requests by {@link #key} of the upstream
   * @param nowMillis the time
   * @return whether it is newer than what was known
   */
  public boolean heard(
      VmId vm, long incarnation, long sequence, Map<Integer, Integer> inFlight, long nowMillis) {
    Statement known = statements.get(vm);
    if (known != null
        && (known.incarnation > incarnation
            || known.incarnation == incarnation && known.sequence >= sequence)) {
      return false;
    }
    if (known != null) {
      add(known, -1);
    }
    Statement stated = new Statement(incarnation, sequence, Map.copyOf(inFlight), nowMillis);
    statements.put(vm, stated);
    add(stated, 1);
    return true;
  }

  /** Forgets VMs that have been silent. */
  public void expire(long nowMillis) {
    for (Iterator<Statement> all = statements.values().iterator(); all.hasNext(); ) {
      Statement known = all.next();
      if (nowMillis - known.atMillis > SILENT_MILLIS) {
        add(known, -1);
        all.remove();
      }
    }
  }

  /** Returns the other VMs' requests at the upstream. */
  public int inFlight(int key) {
    return totals.getOrDefault(key, 0);
  }

  /** Sets how many other VMs are known, of which some may not have been heard for a while. */
  public void known(int vms) {
    known = vms;
  }

  /**
   * Returns how many VMs share what is bounded for the fleet, this one included. In a large fleet a
   * VM hears each other one so rarely that most are silent at any time; they count all the same.
   */
  public int fleetSize() {
    return Math.max(known, statements.size()) + 1;
  }

  /** Tells whether the load that other VMs state is known. */
  public boolean isHeard() {
    return !statements.isEmpty();
  }

  /** Returns the key of an upstream in statements, given the hash of its id. */
  public static int key(long idHash) {
    return (int) (idHash ^ idHash >>> Integer.SIZE);
  }

  private void add(Statement stated, int sign) {
    stated.inFlight.forEach(
        (key, count) ->
            totals.merge(key, sign * count, (one, other) -> one + other == 0 ? null : one + other));
  }
}
