package org.ragworttide.coordination.feed;

import java.util.Comparator;

/**
 * The number that an item's writer gives to its writes, which a return of the store from an older
 * copy does not change.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param incarnation the run of the writer; later runs have greater numbers
 * @param sequence the number of the write within the run
 */
public record ItemVersion(long incarnation, long sequence) implements Comparable<ItemVersion> {
  private static final Comparator<ItemVersion> ORDER =
      Comparator.comparingLong(ItemVersion::incarnation).thenComparingLong(ItemVersion::sequence);

  @Override
  public int compareTo(ItemVersion other) {
    return ORDER.compare(this, other);
  }
}
