package org.ragworttide.coordination.feed;

import java.util.Optional;

/**
 * What is known of the items of a store and their writers, by which writes of different eras are
 * compared. Implementations are stateless.
 */
public interface ItemRules {
  /** Grace period of an item that the store cannot take back. */
  long FOREVER_MILLIS = Long.MAX_VALUE;

  /** Returns the version that the writer gave to the item, empty if it gives none. */
  Optional<ItemVersion> version(String key, byte[] value);

  /**
   * Returns the milliseconds for which an item is kept that a store lacks after it has returned
   * from a copy: within this time, its writer writes it again.
   */
  long missingGraceMillis(String key);

  /**
   * Returns the milliseconds for which a write or deletion is kept although a store that has
   * returned from a copy has an older write of the item.
   */
  long outdatedGraceMillis(String key);
}
