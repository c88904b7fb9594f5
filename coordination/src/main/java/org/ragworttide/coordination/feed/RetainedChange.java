package org.ragworttide.coordination.feed;

/**
 * A change of an earlier era that a VM keeps because the store, which has returned from an older
 * copy, does not have it yet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param era the era in which the store made the change
 * @param change the change
 * @param remainingMillis milliseconds for which it is kept, or {@link ItemRules#FOREVER_MILLIS}
 */
public record RetainedChange(long era, Change change, long remainingMillis) {

  /** Checks the ranges. */
  public RetainedChange {
    if (era < 0 || remainingMillis < 0) {
      throw new IllegalArgumentException("era and remainingMillis must not be negative");
    }
  }

  StorePosition position() {
    return new StorePosition(era, change.revision());
  }
}
