package org.ragworttide.coordination.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * Numbers of requests that other VMs have in flight at each upstream, as they state them.
 *
 * <p>Prevents all VMs from sending to the same upstream at once because they see the same stale
 * report of it. Each VM broadcasts the number of its requests at an upstream, which reaches the
 * other VMs within a fraction of a second.
 *
 * <p>Invariants: only the newest statement of a VM counts; the statement of a silent VM expires.
 * Confined to one thread.
 */
public final class PeerLoads {
  /** Milliseconds after which a statement expires: several statement intervals. */
  private static final long STATEMENT_LIFETIME_MILLIS = 2_000;

  /** Share of the other VMs whose statements stand for the load of all. */
  private static final double MOST_PEERS = 0.75;

  private final Map<VmId, Statement> statements = new HashMap<>();
  private final Map<Integer, Integer> totals = new HashMap<>();
  private final FleetMembers members = new FleetMembers();
  private int knownPeers;

  private record Statement(
      long incarnation, long sequence, Map<Integer, Integer> inFlight, long receivedAtMillis) {}

  /**
   * Records a statement of a VM.
   *
   * @param vm the VM
   * @param incarnation identifies the run of the VM's process; later runs have greater values
   * @param sequence the statement's number, which increases within a run
   * @param inFlight the VM's requests in flight by {@link #key} of the upstream
   * @param nowMillis the time
   * @return whether the statement is newer than the last one recorded for the VM
   */
  public boolean recordStatement(
      VmId vm, long incarnation, long sequence, Map<Integer, Integer> inFlight, long nowMillis) {
    Statement previous = statements.get(vm);
    if (previous != null
        && (previous.incarnation > incarnation
            || previous.incarnation == incarnation && previous.sequence >= sequence)) {
      return false;
    }
    if (previous != null) {
      addToTotals(previous, -1);
    }
    Statement statement = new Statement(incarnation, sequence, Map.copyOf(inFlight), nowMillis);
    statements.put(vm, statement);
    addToTotals(statement, 1);
    return true;
  }

  /** Removes the expired statements of silent VMs. */
  public void expire(long nowMillis) {
    for (Iterator<Statement> all = statements.values().iterator(); all.hasNext(); ) {
      Statement statement = all.next();
      if (nowMillis - statement.receivedAtMillis > STATEMENT_LIFETIME_MILLIS) {
        addToTotals(statement, -1);
        all.remove();
      }
    }
  }

  /** Returns the number of requests that other VMs have in flight at the upstream. */
  public int inFlight(int key) {
    return totals.getOrDefault(key, 0);
  }

  /** Returns the VMs that share the limits that upstreams name. */
  public FleetMembers members() {
    return members;
  }

  /** Sets the number of other VMs that are known, including VMs without a recent statement. */
  public void setKnownPeers(int vms) {
    knownPeers = vms;
  }

  /**
   * Returns the number of VMs that share fleet-wide limits, including this VM. In a large fleet a
   * VM receives statements from each other VM so rarely that most statements have expired at any
   * time; these VMs are counted too.
   */
  public int fleetSize() {
    return Math.max(knownPeers, statements.size()) + 1;
  }

  /** Returns the number of other VMs of which a current statement is known. */
  public int statingPeers() {
    return statements.size();
  }

  /**
   * Returns whether current statements of most other VMs are known. In a large fleet they are not,
   * and reports of upstreams say more about the requests of all VMs.
   */
  public boolean isMostlyKnown() {
    return !statements.isEmpty() && statements.size() >= MOST_PEERS * knownPeers;
  }

  /** Returns whether other VMs are known, but current statements of most of them are not. */
  boolean isSampled() {
    return fleetSize() > 1 && !isMostlyKnown();
  }

  /** Returns the key that identifies an upstream in statements, given the hash of its id. */
  public static int key(long idHash) {
    return (int) (idHash ^ idHash >>> Integer.SIZE);
  }

  private void addToTotals(Statement statement, int sign) {
    statement.inFlight.forEach(
        (key, count) ->
            totals.merge(key, sign * count, (one, other) -> one + other == 0 ? null : one + other));
  }
}
