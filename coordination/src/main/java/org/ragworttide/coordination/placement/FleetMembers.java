package org.ragworttide.coordination.placement;

import java.util.Collection;
import java.util.OptionalLong;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * The VMs that share fleet-wide limits, as one of them knows them.
 *
 * <p>Handles cuts, in which several groups of VMs would each take themselves for the whole fleet:
 * the VMs that were known until lately still count.
 *
 * <p>Invariant: VMs that know the same members agree on their ranks. Confined to one thread.
 */
public final class FleetMembers {
  /**
   * Time for which members that are known no more still count: longer than cuts between VMs last
   * that nobody repairs, while a fleet that was made smaller soon uses its limits fully again.
   */
  static final long RETENTION_MILLIS = 300_000;

  /**
   * Time without news of another member after which most members are known: several statements of
   * each VM.
   */
  static final long SETTLE_MILLIS = 1_000;

  /** Time after which a VM that has heard of no other takes itself for the whole fleet. */
  static final long ALONE_MILLIS = 10_000;

  private static final long HASH_KEY = Rendezvous.hash("members");

  /** Spreads numbers that differ in a few bits, such as addresses, over all bits. */
  private static final long NUMBER_FACTOR = 0x9e3779b97f4a7c15L;

  private long selfNumber;
  private long[] otherNumbers = new long[0];
  private long self;
  private long[] others = new long[0];
  private int formerSize;
  private long formerUntilMillis;
  private long settledAtMillis = Long.MAX_VALUE;
  private int version;

  /**
   * Sets the number of VMs that are assumed until others are known.
   *
   * @param vms at least one
   * @param nowMillis the time
   */
  public void assume(int vms, long nowMillis) {
    settledAtMillis = nowMillis + ALONE_MILLIS;
    formerSize = vms;
    formerUntilMillis = Long.MAX_VALUE;
    version++;
  }

  /**
   * Sets the members.
   *
   * @param selfNumber a number that is this VM's alone
   * @param otherNumbers those of the other known VMs
   */
  public void set(long selfNumber, Collection<Long> otherNumbers, long nowMillis) {
    final int before = size();
    this.selfNumber = selfNumber;
    this.otherNumbers = otherNumbers.stream().mapToLong(Long::longValue).toArray();
    self = hash(selfNumber);
    others = otherNumbers.stream().mapToLong(FleetMembers::hash).toArray();
    if (formerUntilMillis == Long.MAX_VALUE && others.length > 0) {
      formerUntilMillis = nowMillis;
    }
    if (settledAtMillis == Long.MAX_VALUE) {
      settledAtMillis = Long.MIN_VALUE;
    } else if (size() > before && settledAtMillis != Long.MIN_VALUE) {
      settledAtMillis = nowMillis + SETTLE_MILLIS;
    }
    if (size() < before && (before >= formerSize || nowMillis >= formerUntilMillis)) {
      formerSize = before;
      formerUntilMillis = nowMillis + RETENTION_MILLIS;
    }
    version++;
  }

  private static long hash(long number) {
    return Rendezvous.weight(HASH_KEY, number * NUMBER_FACTOR);
  }

  /**
   * Returns whether most members are known, as far as a VM that has assumed others can tell. A VM
   * that has just started knows few of a large fleet, and many such VMs would each take themselves
   * for one of the first.
   */
  boolean isSettled(long nowMillis) {
    return nowMillis >= settledAtMillis;
  }

  /** Returns the number of known VMs, including this one. */
  int size() {
    return others.length + 1;
  }

  /** Returns the number of VMs that share limits, including those that were known until lately. */
  int sharers(long nowMillis) {
    return nowMillis < formerUntilMillis ? Math.max(size(), formerSize) : size();
  }

  /** Returns a number that changes whenever the members change. */
  int version() {
    return version;
  }

  /**
   * Returns the number of the VM that permits requests to a cold upstream; empty if too few members
   * are known to tell.
   *
   * @param upstream the key of the upstream's incarnation
   */
  public OptionalLong owner(int upstream, long nowMillis) {
    if (!isSettled(nowMillis)) {
      return OptionalLong.empty();
    }
    long keyHash = Rendezvous.weight(HASH_KEY, upstream * NUMBER_FACTOR);
    long owner = selfNumber;
    long greatest = Rendezvous.weight(keyHash, self);
    for (int i = 0; i < others.length; i++) {
      long weight = Rendezvous.weight(keyHash, others[i]);
      if (weight > greatest) {
        greatest = weight;
        owner = otherNumbers[i];
      }
    }
    return OptionalLong.of(owner);
  }

  /** Returns whether this VM permits requests to a cold upstream. */
  boolean isOwner(int upstream, long nowMillis) {
    OptionalLong owner = owner(upstream, nowMillis);
    return owner.isPresent() && owner.getAsLong() == selfNumber;
  }

  /** Returns how many known VMs come before this one for the key. */
  int rank(long keyHash) {
    long own = Rendezvous.weight(keyHash, self);
    int before = 0;
    for (long other : others) {
      if (Rendezvous.weight(keyHash, other) > own) {
        before++;
      }
    }
    return before;
  }
}
