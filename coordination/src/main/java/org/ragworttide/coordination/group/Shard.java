package org.ragworttide.coordination.group;

import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Hash partition of the names that a fleet votes on. The number of shards is fixed, and each shard
 * has its own group of voters.
 *
 * <p>Invariant: a name belongs to the same shard on every daemon. Immutable, safe for use by any
 * thread.
 *
 * @param number from zero to {@link #COUNT} exclusive
 */
public record Shard(int number) implements Comparable<Shard> {
  /** The number of shards of a fleet. */
  public static final int COUNT = 512;

  /** Checks the number. */
  public Shard {
    if (!isNumber(number)) {
      throw new IllegalArgumentException("shard number out of range: " + number);
    }
  }

  /** Returns the shard of a name. */
  public static Shard of(String name) {
    return new Shard((int) Math.floorMod(Rendezvous.hash(name), (long) COUNT));
  }

  /** Returns whether the number is that of a shard. */
  public static boolean isNumber(int number) {
    return number >= 0 && number < COUNT;
  }

  @Override
  public int compareTo(Shard other) {
    return Integer.compare(number, other.number);
  }
}
