package org.ragworttide.coordination.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Decides which availability zones a VM cannot reach.
 *
 * <p>Handles a zone that loses power or is cut off while each VM sends each of its upstreams a
 * request every few seconds: learning upstream by upstream would let a request wait for a
 * connection to each of them, again and again. One connection that times out makes the zone
 * suspect; a check of several of its upstreams decides within a tenth of a second, and further
 * checks find out when the zone is back. A single silent upstream changes nothing, because the
 * others answer the check.
 *
 * <p>Connections that are refused make a zone suspect too, but only those to two of its upstreams
 * with none opened in between: a single one means that its process has ended.
 *
 * <p>Invariants: a zone becomes unreachable only by a check of this VM, during which no connection
 * to an upstream of the zone was opened; any that is makes it reachable at once. Confined to one
 * thread.
 */
public final class ZoneReachability {
  /** Upstreams of a suspect zone to which connections are opened. */
  static final int FIRST_CHECK_UPSTREAMS = 3;

  /**
   * Upstreams of a zone that refuses connections to which connections are opened: more than of one
   * that is silent, since several processes may have ended while the others serve.
   */
  static final int REFUSED_CHECK_UPSTREAMS = 6;

  /** Upstreams that refuse connections, one after the other, before their zone is suspect. */
  private static final int SUSPECT_REFUSALS = 2;

  /** Upstreams that are checked again while the zone is unreachable. */
  static final int LATER_CHECK_UPSTREAMS = 2;

  /** Time within which an upstream answers: many round trips between zones of a region. */
  static final long VERDICT_MILLIS = 100;

  /**
   * Interval between checks of an unreachable zone: a small part of the time after which a zone in
   * which power is back serves again.
   */
  static final long CHECK_INTERVAL_MILLIS = 500;

  /**
   * Time after a connection to a zone was opened in which the verdict of another VM says nothing
   * about this VM's way to it.
   */
  static final long RECENT_CONTACT_MILLIS = 1_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<ZoneId, State> states = new HashMap<>();
  private final Map<ZoneId, Long> contactAtMillis = new HashMap<>();

  private static final class State {
    private final Set<UpstreamId> refusing = new HashSet<>();
    private long checkStartedAtMillis = NEVER;
    private boolean checking;
    private boolean checkDue;
    private boolean refused;
    private boolean unreachable;
  }

  /**
   * A zone of which some upstreams are to be checked by opening connections to them.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param zone the zone
   * @param upstreams how many of its upstreams, chosen at random
   */
  public record Check(ZoneId zone, int upstreams) {}

  /** Records that an upstream of the zone does not answer a new connection. */
  public void recordSuspicion(ZoneId zone) {
    demandCheck(states.computeIfAbsent(zone, key -> new State()));
  }

  /** Records that another VM of the own zone states that it cannot reach the zone. */
  public void recordPeerVerdict(ZoneId zone, long nowMillis) {
    Long contact = contactAtMillis.get(zone);
    if (contact == null || nowMillis - contact >= RECENT_CONTACT_MILLIS) {
      recordSuspicion(zone);
    }
  }

  /** Records that a new connection to an upstream of the zone was refused. */
  public void recordRefusal(ZoneId zone, UpstreamId upstream) {
    State state = states.computeIfAbsent(zone, key -> new State());
    state.refused = true;
    state.refusing.add(upstream);
    if (state.refusing.size() >= SUSPECT_REFUSALS) {
      demandCheck(state);
    }
  }

  private static void demandCheck(State state) {
    if (!state.checking && !state.unreachable) {
      state.checkDue = true;
    }
  }

  /**
   * Records that a connection to an upstream of the zone was opened.
   *
   * @return whether the zone was unreachable
   */
  public boolean recordContact(ZoneId zone, long nowMillis) {
    contactAtMillis.put(zone, nowMillis);
    State state = states.remove(zone);
    return state != null && state.unreachable;
  }

  /** Returns the checks to start now. */
  public List<Check> startChecks(long nowMillis) {
    List<Check> checks = new ArrayList<>();
    states.forEach(
        (zone, state) -> {
          boolean again =
              state.unreachable && nowMillis - state.checkStartedAtMillis >= CHECK_INTERVAL_MILLIS;
          if (state.checkDue || again) {
            state.checkDue = false;
            state.checking = !state.unreachable;
            state.checkStartedAtMillis = nowMillis;
            checks.add(new Check(zone, upstreamsToCheck(state)));
            if (state.checking) {
              state.refused = false;
              state.refusing.clear();
            }
          }
        });
    return checks;
  }

  private static int upstreamsToCheck(State state) {
    if (state.unreachable) {
      return LATER_CHECK_UPSTREAMS;
    }
    return state.refused ? REFUSED_CHECK_UPSTREAMS : FIRST_CHECK_UPSTREAMS;
  }

  /** Ends the checks that no upstream has answered in time; returns the zones that are lost. */
  public List<ZoneId> endChecks(long nowMillis) {
    List<ZoneId> lost = new ArrayList<>();
    states.forEach(
        (zone, state) -> {
          if (state.checking && nowMillis - state.checkStartedAtMillis >= VERDICT_MILLIS) {
            state.checking = false;
            state.unreachable = true;
            lost.add(zone);
          }
        });
    return lost;
  }

  /**
   * Returns whether the zone cannot be reached and no machine of it has refused a connection. Open
   * connections to a zone that refuses new ones may still serve.
   */
  public boolean isSilent(ZoneId zone) {
    State state = states.get(zone);
    return state != null && state.unreachable && !state.refused;
  }

  /** Returns the zones that cannot be reached. */
  public Set<ZoneId> unreachable() {
    if (states.isEmpty()) {
      return Set.of();
    }
    Set<ZoneId> zones = new HashSet<>();
    states.forEach(
        (zone, state) -> {
          if (state.unreachable) {
            zones.add(zone);
          }
        });
    return zones;
  }
}
