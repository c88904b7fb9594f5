package org.ragworttide.coordination.placement;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Limits the rate at which one VM sends requests to an upstream that names the requests per second
 * that it accepts from all VMs together.
 *
 * <p>Handles upstreams in need, while each VM sees only a sliver of their requests. If each of many
 * VMs kept to an equal part of a small limit, each could send a request at the same moment. So only
 * a few VMs, which all VMs choose alike by rendezvous hashing, send to the upstream, in turn: each
 * at an equal part of the limit, from a starting time that depends on its rank. Other VMs send
 * nothing until the limit is lifted or expires. A limit that nobody has heard again expires at one
 * of them after the other, at the rate of the limit, so that not all return in one moment.
 *
 * <p>Invariants: while a limit is in force, this VM's requests are at least the interval apart that
 * follows from its part; a VM that is not chosen sends none. In any time, all VMs together send at
 * most the limit and one request for each chosen VM, as long as they know the same members.
 * Confined to one thread.
 */
final class RequestAllowance {
  /** Chosen VMs for each request per second of the limit. */
  private static final double SENDERS_PER_REQUEST_PER_SECOND = 1.5;

  /** Chosen VMs beyond these, so that the loss of one leaves the upstream in use. */
  private static final int MIN_SENDERS = 3;

  /**
   * Least rate of the fleet: a limit of zero, too, is asked about again every four seconds, so that
   * its end is noticed.
   */
  static final double MIN_PER_SECOND = 0.25;

  /**
   * Time after which a limit that no answer has named again expires: several times the time in
   * which the VMs of a large fleet tell each other of an answer, and more than the interval between
   * the requests of a chosen VM at the least rate.
   */
  static final long LIFETIME_MILLIS = 30_000;

  /** Greatest delay of the expiry, so that no limit stays for long without an answer. */
  static final long MAX_EXPIRY_DELAY_MILLIS = 300_000;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final FleetMembers members;
  private final long upstreamHash;
  private RequestLimit limit = new RequestLimit(OptionalDouble.empty(), NEVER);
  private long limitedAtMillis = NEVER;
  private long nextRequestMillis = NEVER;
  private int membersVersion;
  private int rank;

  /**
   * Creates the allowance of an upstream that names no limit.
   *
   * @param members the VMs that share the limit
   * @param upstreamHash a well-mixed hash of the upstream's id
   */
  RequestAllowance(FleetMembers members, long upstreamHash) {
    this.members = members;
    this.upstreamHash = upstreamHash;
  }

  /**
   * Records what the upstream has named to this or another VM; of two statements the later counts.
   *
   * @return whether a limit begins, changes or ends
   */
  boolean recordLimit(RequestLimit named, long nowMillis) {
    if (named.namedAtMillis() <= limit.namedAtMillis()
        || nowMillis - named.namedAtMillis() >= LIFETIME_MILLIS) {
      return false;
    }
    boolean wasInForce = isInForce(nowMillis);
    boolean changes =
        wasInForce ? !named.perSecond().equals(limit.perSecond()) : named.perSecond().isPresent();
    limit = named;
    if (named.perSecond().isPresent()) {
      limitedAtMillis = named.namedAtMillis();
      if (!wasInForce) {
        nextRequestMillis = nowMillis + startDelayMillis(nowMillis);
      }
    }
    return changes;
  }

  /** Takes over the limit of an earlier entry of the same incarnation. */
  void inherit(RequestAllowance earlier) {
    limit = earlier.limit;
    limitedAtMillis = earlier.limitedAtMillis;
    nextRequestMillis = earlier.nextRequestMillis;
  }

  /** Returns the limit that is in force, or empty if there is none. */
  Optional<RequestLimit> limit(long nowMillis) {
    return isInForce(nowMillis) ? Optional.of(limit) : Optional.empty();
  }

  /** Returns the limit, or that it has ended lately, for other VMs. */
  Optional<RequestLimit> news(long nowMillis) {
    return nowMillis - limitedAtMillis < LIFETIME_MILLIS ? Optional.of(limit) : Optional.empty();
  }

  /** Returns whether a request may be sent now. */
  boolean admits(long nowMillis) {
    return waitMillis(nowMillis) == 0;
  }

  /**
   * Returns the milliseconds until a request may be sent; if this VM sends none under the limit,
   * those until another VM may, since a retry can arrive there.
   */
  long waitMillis(long nowMillis) {
    if (!isInForce(nowMillis)) {
      return 0;
    }
    return isSender()
        ? Math.max(0, nextRequestMillis - nowMillis)
        : (long) Math.ceil(MILLIS_PER_SECOND / perSecond());
  }

  /** Records that a request is sent now. */
  void recordRequest(long nowMillis) {
    if (isInForce(nowMillis)) {
      nextRequestMillis = nowMillis + (long) Math.ceil(intervalMillis(nowMillis));
    }
  }

  private boolean isInForce(long nowMillis) {
    if (limit.perSecond().isEmpty()) {
      return false;
    }
    long age = nowMillis - limit.namedAtMillis();
    return age < LIFETIME_MILLIS || age < LIFETIME_MILLIS + expiryDelayMillis();
  }

  /**
   * Returns by how much later than elsewhere the limit expires here; the answer to its next request
   * tells a chosen VM whether the limit has ended.
   */
  private long expiryDelayMillis() {
    return isSender()
        ? MAX_EXPIRY_DELAY_MILLIS
        : (long)
            Math.min(
                MAX_EXPIRY_DELAY_MILLIS, (rank() - senders()) * MILLIS_PER_SECOND / perSecond());
  }

  /** Returns the delay that lets the chosen VMs begin in turn. */
  private long startDelayMillis(long nowMillis) {
    return isSender() ? (long) (rank() * intervalMillis(nowMillis) / senders()) : 0;
  }

  private boolean isSender() {
    return rank() < senders();
  }

  private double intervalMillis(long nowMillis) {
    double part = (double) members.sharers(nowMillis) / members.size();
    return MILLIS_PER_SECOND * senders() * part / perSecond();
  }

  private int senders() {
    return Math.min(
        members.size(), MIN_SENDERS + (int) (SENDERS_PER_REQUEST_PER_SECOND * perSecond()));
  }

  private double perSecond() {
    return Math.max(MIN_PER_SECOND, limit.perSecond().orElseThrow());
  }

  private int rank() {
    if (membersVersion != members.version()) {
      membersVersion = members.version();
      rank = members.rank(upstreamHash);
    }
    return rank;
  }
}
