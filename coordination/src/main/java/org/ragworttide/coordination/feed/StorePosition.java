package org.ragworttide.coordination.feed;

import java.util.Comparator;

/**
 * A point in the history of the platform's store.
 *
 * <p>A store that returns from an older copy of itself begins a new era, in which it gives out
 * again the revisions that it had given out since the copy. Revisions are therefore ordered within
 * an era only. Immutable, safe for use by any thread.
 *
 * @param era the number of the store's era, which increases by one with each return; 0 if the store
 *     names none
 * @param revision the store's revision within the era, 0 if nothing is known
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
  /** The position of a VM that knows nothing of the store. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

  /** Checks the ranges. */
  public StorePosition {
    if (era < 0 || revision < 0) {
      throw new IllegalArgumentException("era and revision must not be negative");
    }
  }

  /** Returns whether nothing is known of the store. */
  public boolean isNone() {
    return revision == 0;
  }

  /** Returns whether this position is later than the other. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return revision + " of era " + era;
  }
}
