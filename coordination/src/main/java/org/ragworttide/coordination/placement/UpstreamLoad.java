package org.ragworttide.coordination.placement;

import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * What a VM believes about the load of one upstream: its own requests there, and what the upstream
 * last reported.
 *
 * <p>Invariant: own requests never count below zero. Confined to one thread.
 */
public final class UpstreamLoad {
  /**
   * Milliseconds for which a report counts. A few answers of an engine reach a VM in that time; own
   * requests alone would make the engines that were not heard of look idle.
   */
  private static final long REPORT_LIFETIME_MILLIS = 4_000;

  /** Milliseconds for which a report is newer than what other VMs tell. */
  private static final long FRESH_REPORT_MILLIS = 200;

  /** Milliseconds without an answer after which a mean duration counts half. */
  private static final long DURATION_HALF_LIFE_MILLIS = 4_000;

  /** Weight of the newest duration in the mean: the usual smoothing of TCP's round-trip time. */
  private static final double DURATION_WEIGHT = 0.125;

  private final UpstreamId id;
  private final ZoneId zone;
  private final long idHash;
  private final long bornMillis;
  private final PeerLoads peers;
  private final ColdAllowance cold;
  private int slots;
  private int inFlight;
  private int reported;
  private int startedSinceReport;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private double meanDurationMillis;
  private long answeredAtMillis;

  /**
   * Creates an upstream without requests.
   *
   * @param id the upstream
   * @param zone its availability zone
   * @param slots how many requests it works on at a time, positive
   * @param bornMillis Unix time of its start in milliseconds, 0 if unknown
   * @param peers the requests of other VMs
   */
  public UpstreamLoad(UpstreamId id, ZoneId zone, int slots, long bornMillis, PeerLoads peers) {
    this.id = id;
    this.zone = zone;
    this.idHash = Rendezvous.hash(id.value());
    this.bornMillis = bornMillis;
    this.peers = peers;
    this.cold = new ColdAllowance(peers);
    slots(slots);
  }

  /** Returns the upstream. */
  public UpstreamId id() {
    return id;
  }

  /** Returns the upstream's availability zone. */
  public ZoneId zone() {
    return zone;
  }

  /** Returns what may be sent to the upstream while it is cold. */
  public ColdAllowance cold() {
    return cold;
  }

  /** Returns the Unix time of its start in milliseconds, 0 if unknown. */
  public long bornMillis() {
    return bornMillis;
  }

  /** Returns how many requests it works on at a time. */
  public int slots() {
    return slots;
  }

  /** Sets how many requests it works on at a time. */
  public void slots(int count) {
    if (count <= 0) {
      throw new IllegalArgumentException("slots must be positive");
    }
    this.slots = count;
  }

  /** Returns the VM's own requests at the upstream. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the mean duration of the VM's requests there in milliseconds, 0 if none has ended. It
   * fades while nothing is heard, so that an upstream that was slow once is tried again.
   */
  public double meanDurationMillis(long nowMillis) {
    double silences = (double) (nowMillis - answeredAtMillis) / DURATION_HALF_LIFE_MILLIS;
    return meanDurationMillis * Math.pow(2, -silences);
  }

  /** Notes that a request of this VM was sent. */
  public void started() {
    inFlight++;
    startedSinceReport++;
  }

  /** Notes that a request of this VM has ended. */
  public void ended() {
    if (inFlight == 0) {
      throw new IllegalStateException("no request at " + id);
    }
    inFlight--;
  }

  /** Notes how long an answered request took. */
  public void answeredAfter(long millis, long nowMillis) {
    answeredAtMillis = nowMillis;
    meanDurationMillis =
        meanDurationMillis == 0
            ? millis
            : meanDurationMillis + DURATION_WEIGHT * (millis - meanDurationMillis);
  }

  /** Takes a report of the upstream about requests of all VMs. */
  public void reported(int running, int waiting, long nowMillis) {
    reported = running + waiting;
    startedSinceReport = 0;
    reportedAtMillis = nowMillis;
  }

  /** Returns the requests believed to be at the upstream, those of other VMs included. */
  public int estimate(long nowMillis) {
    int told = inFlight + peers.inFlight(key());
    long lifetime = peers.isHeard() ? FRESH_REPORT_MILLIS : REPORT_LIFETIME_MILLIS;
    if (nowMillis - reportedAtMillis > lifetime) {
      return told;
    }
    return Math.max(told, reported + startedSinceReport);
  }

  /** Returns the upstream's key in what VMs tell each other. */
  public int key() {
    return PeerLoads.key(idHash);
  }

  long weight(long keyHash) {
    return Rendezvous.weight(keyHash, idHash);
  }
}
