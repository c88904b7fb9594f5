package org.ragworttide.coordination.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Estimate that a VM keeps of the load of one upstream, from its own requests there, the statements
 * of other VMs and the upstream's last report.
 *
 * <p>Invariant: the number of own requests is never negative. Confined to one thread.
 */
public final class UpstreamLoad {
  /**
   * Milliseconds for which a report is used while the load of most other VMs is not known. A VM
   * receives a few answers of an engine in that time; counting own requests alone would make the
   * engines without a recent answer look idle.
   */
  private static final long REPORT_LIFETIME_MILLIS = 4_000;

  /**
   * Milliseconds for which a report is used while the load of most other VMs is known; later their
   * statements are more recent.
   */
  private static final long FRESH_REPORT_MILLIS = 200;

  /**
   * Milliseconds after which half of a peak remains: longer than the requests of a session whose
   * engine was overloaded need to end.
   */
  private static final long PEAK_HALF_LIFE_MILLIS = 3_000;

  /** Milliseconds without an answer after which the mean duration is halved. */
  private static final long DURATION_HALF_LIFE_MILLIS = 4_000;

  /**
   * Weight of the newest duration in the mean: the usual smoothing factor of TCP's round-trip time.
   */
  private static final double DURATION_WEIGHT = 0.125;

  /** Time of a report that was never received: long ago for any clock. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final UpstreamId id;
  private final ZoneId zone;
  private final long idHash;
  private final long startUnixMillis;
  private final PeerLoads peers;
  private final ColdAllowance cold;
  private final StatedAvailability availability;
  private int slots;
  private int inFlight;
  private int reportedRequests;
  private final Deque<Long> recentStarts = new ArrayDeque<>();
  private long reportedAtMillis = NEVER;
  private int peakRequests;
  private long peakAtMillis = NEVER;
  private double meanDurationMillis;
  private long answeredAtMillis;

  /**
   * Creates an upstream without requests.
   *
   * @param id the upstream
   * @param zone its availability zone
   * @param slots how many requests it processes concurrently, positive
   * @param startUnixMillis Unix time of its start in milliseconds, 0 if unknown
   * @param peers the stated loads of other VMs
   */
  public UpstreamLoad(
      UpstreamId id, ZoneId zone, int slots, long startUnixMillis, PeerLoads peers) {
    this.id = id;
    this.zone = zone;
    this.idHash = Rendezvous.hash(id.value());
    this.startUnixMillis = startUnixMillis;
    this.peers = peers;
    this.cold = new ColdAllowance();
    this.availability = new StatedAvailability(idHash, peers.members());
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

  /** Returns what is known of the upstream's cold start. */
  public ColdAllowance coldAllowance() {
    return cold;
  }

  /** Returns what the upstream has stated about the requests that it wants. */
  public StatedAvailability availability() {
    return availability;
  }

  /** Returns the Unix time of the upstream's start in milliseconds, or 0 if unknown. */
  public long startUnixMillis() {
    return startUnixMillis;
  }

  /** Returns how many requests the upstream processes concurrently. */
  public int slots() {
    return slots;
  }

  /** Sets how many requests the upstream processes concurrently. */
  public void slots(int count) {
    if (count <= 0) {
      throw new IllegalArgumentException("slots must be positive");
    }
    this.slots = count;
  }

  /** Returns the number of this VM's requests in flight at the upstream. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the mean duration of this VM's requests at the upstream in milliseconds, or 0 if none
   * has ended. The mean decays while no answer arrives, so that an upstream that was slow once is
   * tried again.
   */
  public double meanDurationMillis(long nowMillis) {
    double halfLives = (double) (nowMillis - answeredAtMillis) / DURATION_HALF_LIFE_MILLIS;
    return meanDurationMillis * Math.pow(2, -halfLives);
  }

  /** Records that this VM has sent a request. */
  public void recordStart(long nowMillis) {
    inFlight++;
    recentStarts.addLast(nowMillis);
    while (nowMillis - recentStarts.getFirst() > REPORT_LIFETIME_MILLIS) {
      recentStarts.removeFirst();
    }
  }

  /** Records that a request of this VM has ended. */
  public void recordEnd() {
    if (inFlight == 0) {
      throw new IllegalStateException("no request in flight at " + id);
    }
    inFlight--;
  }

  /** Records the duration of an answered request. */
  public void recordDuration(long millis, long nowMillis) {
    answeredAtMillis = nowMillis;
    meanDurationMillis =
        meanDurationMillis == 0
            ? millis
            : meanDurationMillis + DURATION_WEIGHT * (millis - meanDurationMillis);
  }

  /**
   * Records a report of the upstream on the requests of all VMs, unless a later one is known.
   *
   * @param requests the requests that it runs or that wait there
   * @param atMillis when it reported them, on this VM's clock
   */
  public void recordReport(int requests, long atMillis) {
    if (atMillis >= reportedAtMillis) {
      if (requests >= peakRequests(atMillis)) {
        peakRequests = requests;
        peakAtMillis = atMillis;
      }
      reportedRequests = requests;
      reportedAtMillis = atMillis;
    }
  }

  /**
   * Returns the largest number of requests that the upstream has reported lately, which decays: of
   * earlier reports less remains.
   */
  double peakRequests(long nowMillis) {
    double halfLives = (double) Math.max(0, nowMillis - peakAtMillis) / PEAK_HALF_LIFE_MILLIS;
    return peakRequests * Math.pow(2, -halfLives);
  }

  /**
   * Returns whether the requests of most other VMs at the upstream are known late or not at all.
   */
  boolean isSampled() {
    return peers.isSampled();
  }

  /** Returns the last report of the upstream to this or another VM, empty if there was none. */
  public Optional<LoadReport> report() {
    return reportedAtMillis == NEVER
        ? Optional.empty()
        : Optional.of(new LoadReport(incarnationKey(), reportedRequests, reportedAtMillis));
  }

  /** Returns the milliseconds since the last report, empty if there was none. */
  public OptionalLong reportAgeMillis(long nowMillis) {
    return reportedAtMillis == NEVER
        ? OptionalLong.empty()
        : OptionalLong.of(nowMillis - reportedAtMillis);
  }

  /** Returns the estimated number of requests at the upstream, including those of other VMs. */
  public int estimatedRequests(long nowMillis) {
    int ownAndStated = inFlight + peers.inFlight(key());
    long lifetime = peers.isMostlyKnown() ? FRESH_REPORT_MILLIS : REPORT_LIFETIME_MILLIS;
    if (nowMillis - reportedAtMillis > lifetime) {
      return ownAndStated;
    }
    return Math.max(ownAndStated, reportedRequests + startedSinceReport());
  }

  private int startedSinceReport() {
    int started = 0;
    for (Iterator<Long> newest = recentStarts.descendingIterator();
        newest.hasNext() && newest.next() >= reportedAtMillis; ) {
      started++;
    }
    return started;
  }

  /** Returns the key that identifies this incarnation of the upstream in the statements of VMs. */
  public int incarnationKey() {
    return key() ^ Long.hashCode(startUnixMillis);
  }

  /** Returns the key that identifies the upstream in the statements of VMs. */
  public int key() {
    return PeerLoads.key(idHash);
  }

  long weight(long keyHash) {
    return Rendezvous.weight(keyHash, idHash);
  }
}
