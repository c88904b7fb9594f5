package org.ragworttide.coordination.zones;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Chooses the VM through which upstreams are reached that this VM cannot reach itself.
 *
 * <p>Handles VMs that are cut off from upstreams while callers and other VMs still reach them. Only
 * what other VMs state tells such a cut from upstreams that are down: a VM that has lately stated
 * anything, and not that it cannot reach the zone either, is taken to reach it. If there is none,
 * requests can be refused at once.
 *
 * <p>Invariant: a VM is chosen only if its newest statement is current and does not name the zone
 * as unreachable, and not within {@link #FAILURE_PAUSE_MILLIS} after it has failed to open a
 * tunnel, unless it has opened others meanwhile. Confined to one thread.
 */
public final class TunnelPeers {
  /**
   * Time for which a statement counts: several statement intervals, and in a large fleet long
   * enough that a part of the VMs is known at any time.
   */
  static final long STATEMENT_LIFETIME_MILLIS = 2_000;

  /** Time for which a VM that has failed to open a tunnel is not asked again. */
  static final long FAILURE_PAUSE_MILLIS = 1_000;

  /** Tunnels that a VM carries more than another one before a way between zones is preferred. */
  private static final int TUNNELS_PER_CROSSING = 4;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final int ownZone;
  private final Map<Long, Peer> peers = new HashMap<>();

  private static final class Peer {
    private final long address;
    private int zone;
    private Set<Integer> unreachableZones = Set.of();
    private long statedAtMillis = NEVER;
    private long openedAtMillis = NEVER;
    private long failedAtMillis = NEVER;
    private int openTunnels;

    private Peer(long address) {
      this.address = address;
    }
  }

  /**
   * Creates a choice that knows no VM yet.
   *
   * @param ownZone the key of this VM's availability zone
   */
  public TunnelPeers(int ownZone) {
    this.ownZone = ownZone;
  }

  /**
   * Records the newest statement of a VM.
   *
   * @param peer the number of its address
   * @param zone the key of its availability zone
   * @param unreachableZones the keys of the zones that it cannot reach
   */
  public void recordStatement(
      long peer, int zone, Collection<Integer> unreachableZones, long nowMillis) {
    Peer stating = peers.computeIfAbsent(peer, Peer::new);
    stating.zone = zone;
    stating.unreachableZones = Set.copyOf(unreachableZones);
    stating.statedAtMillis = nowMillis;
  }

  /** Records that a tunnel through the VM is being opened. */
  public void recordOpening(long peer) {
    peers.computeIfAbsent(peer, Peer::new).openTunnels++;
  }

  /** Records that a tunnel through the VM has ended or could not be opened. */
  public void recordClosed(long peer) {
    peers.computeIfAbsent(peer, Peer::new).openTunnels--;
  }

  /** Records that a tunnel through the VM is open. */
  public void recordOpened(long peer, long nowMillis) {
    Peer opening = peers.computeIfAbsent(peer, Peer::new);
    opening.openedAtMillis = nowMillis;
    opening.failedAtMillis = NEVER;
  }

  /**
   * Records that the VM did not open a tunnel and named no reason that lies with the upstream. If
   * it has opened others since it was asked, the upstream is what has not answered.
   */
  public void recordFailure(long peer, long askedAtMillis, long nowMillis) {
    Peer failing = peers.computeIfAbsent(peer, Peer::new);
    if (failing.openedAtMillis <= askedAtMillis) {
      failing.failedAtMillis = nowMillis;
    }
  }

  /** Removes the VMs that have stated nothing for long and carry no tunnel. */
  public void expire(long nowMillis) {
    peers.values().removeIf(it -> it.openTunnels == 0 && !isCurrent(it, nowMillis));
  }

  /** Returns whether some VM is taken to reach the zone with the key. */
  public boolean reaches(int zone, long nowMillis) {
    return peers.values().stream().anyMatch(it -> isUsable(it, zone, nowMillis));
  }

  /**
   * Returns the number of the address of a VM that is taken to reach the zone: the one with the
   * fewest tunnels of this VM, where a way between zones counts as some more.
   *
   * @param zone the key of the zone
   * @param request a hash of the request, which decides between equal VMs
   */
  public Optional<Long> choose(int zone, long request, long nowMillis) {
    return peers.values().stream()
        .filter(it -> isUsable(it, zone, nowMillis))
        .min(
            Comparator.<Peer>comparingInt(
                    it -> TUNNELS_PER_CROSSING * crossings(it, zone) + it.openTunnels)
                .thenComparingLong(it -> Rendezvous.weight(request, it.address)))
        .map(it -> it.address);
  }

  /** Returns how often the way through the VM to the zone passes from one zone to another. */
  private int crossings(Peer peer, int zone) {
    return (peer.zone == ownZone ? 0 : 1) + (peer.zone == zone ? 0 : 1);
  }

  private static boolean isUsable(Peer peer, int zone, long nowMillis) {
    return isCurrent(peer, nowMillis)
        && !peer.unreachableZones.contains(zone)
        && nowMillis - peer.failedAtMillis >= FAILURE_PAUSE_MILLIS;
  }

  private static boolean isCurrent(Peer peer, long nowMillis) {
    return nowMillis - peer.statedAtMillis < STATEMENT_LIFETIME_MILLIS;
  }
}
