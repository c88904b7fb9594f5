package org.ragworttide.coordination.feed;

import java.util.Arrays;
import java.util.Optional;

/**
 * The newest write of an item of the platform's store, or its deletion.
 *
 * <p>Invariant: only a deletion has a grace period. Immutable as long as nobody changes the array,
 * safe for use by any thread.
 *
 * @param key the item's key
 * @param revision the store's revision of the write, positive
 * @param value the item's bytes, empty if it was deleted
 * @param graceMillis milliseconds for which a deletion that was found after an outage of the store
 *     is not final, because the item may have expired during the outage; 0 if it is final
 */
public record Change(String key, long revision, Optional<byte[]> value, long graceMillis) {
  private static final byte[] NO_BYTES = {};

  /** Checks the ranges. */
  public Change {
    if (key.isEmpty() || revision <= 0 || graceMillis < 0) {
      throw new IllegalArgumentException("key, revision or graceMillis is out of range");
    }
    if (value.isPresent() && graceMillis > 0) {
      throw new IllegalArgumentException("only a deletion has a grace period");
    }
  }

  /** Returns the write of an item. */
  public static Change put(String key, long revision, byte[] value) {
    return new Change(key, revision, Optional.of(value), 0);
  }

  /** Returns the deletion of an item, which is final after the grace period. */
  public static Change deletion(String key, long revision, long graceMillis) {
    return new Change(key, revision, Optional.empty(), graceMillis);
  }

  /** Returns whether both are deletions, or writes of the same bytes. */
  static boolean hasSameValue(Change one, Change other) {
    return one.value().isPresent() == other.value().isPresent()
        && Arrays.equals(one.value().orElse(NO_BYTES), other.value().orElse(NO_BYTES));
  }
}
