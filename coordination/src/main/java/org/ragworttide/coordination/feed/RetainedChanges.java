package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The changes of earlier eras that are newer than what the store has had since it returned from a
 * copy.
 *
 * <p>Answers this pattern: the store returns from a copy that is seconds old; the operator and the
 * upstreams write again what was lost, a moment later; meanwhile VMs must not return to the copy's
 * state, and VMs that have just started must learn of it.
 *
 * <p>Invariants: the version of a retained item only increases; a change that the store does not
 * confirm is dropped after the grace period of its item. Confined to one thread.
 */
final class RetainedChanges {
  private final ItemRules rules;
  private final Map<String, Retained> byKey = new HashMap<>();
  private long additions;

  private record Retained(StorePosition position, Change change, long untilMillis) {}

  RetainedChanges(ItemRules rules) {
    this.rules = rules;
  }

  /** Returns the retained change of the item. */
  Optional<RetainedChange> get(String key, long nowMillis) {
    return Optional.ofNullable(byKey.get(key)).map(retained -> statement(retained, nowMillis));
  }

  /** Returns all retained changes. */
  List<RetainedChange> all(long nowMillis) {
    return byKey.values().stream().map(retained -> statement(retained, nowMillis)).toList();
  }

  /** Returns the number of additions, by which other VMs know whether they have received all. */
  long additions() {
    return additions;
  }

  /**
   * Returns whether a change of an earlier era is newer than what a store has that has returned
   * from a copy.
   *
   * @param known the known change
   * @param present what the store has, empty if it lacks the item
   */
  boolean outdates(Change known, Optional<Change> present) {
    if (present.isEmpty()) {
      return known.value().isPresent() && rules.missingGraceMillis(known.key()) > 0;
    }
    boolean isFinal = known.graceMillis() == 0;
    if (!isFinal || rules.outdatedGraceMillis(known.key()) <= 0) {
      return false;
    }
    Optional<ItemVersion> knownVersion = version(known);
    Optional<ItemVersion> presentVersion = version(present.get());
    if (knownVersion.isPresent() && presentVersion.isPresent()) {
      return knownVersion.get().compareTo(presentVersion.get()) > 0;
    }
    // The copy has no write of a later revision, so such a write was made after the return.
    boolean isWrittenAgain = present.get().revision() > known.revision();
    return !isWrittenAgain && !Change.hasSameValue(known, present.get());
  }

  /** Keeps a change for the grace period of its item, unless a newer one is kept. */
  void retain(StorePosition position, Change change, boolean isMissing, long nowMillis) {
    String key = change.key();
    long graceMillis = isMissing ? rules.missingGraceMillis(key) : rules.outdatedGraceMillis(key);
    add(new Retained(position, change, until(graceMillis, nowMillis)));
  }

  /** Keeps a change that another VM keeps, unless a newer one is kept. */
  void retain(RetainedChange received, long nowMillis) {
    add(
        new Retained(
            received.position(), received.change(), until(received.remainingMillis(), nowMillis)));
  }

  private void add(Retained added) {
    Retained kept = byKey.get(added.change().key());
    if (kept == null || isNewer(added, kept)) {
      byKey.put(added.change().key(), added);
      additions++;
    }
  }

  private boolean isNewer(Retained added, Retained kept) {
    Optional<ItemVersion> addedVersion = version(added.change());
    Optional<ItemVersion> keptVersion = version(kept.change());
    return addedVersion.isPresent() && keptVersion.isPresent()
        ? addedVersion.get().compareTo(keptVersion.get()) > 0
        : added.position().isAfter(kept.position());
  }

  /**
   * Records a change that the store has made since its return.
   *
   * @return whether the change is in force; a write of a lower version than the retained one is
   *     not, nor the deletion of an item that the store cannot take back
   */
  boolean confirm(Change change) {
    Retained kept = byKey.get(change.key());
    if (kept == null) {
      return true;
    }
    if (change.value().isEmpty()
        && rules.missingGraceMillis(change.key()) == ItemRules.FOREVER_MILLIS) {
      return false;
    }
    Optional<ItemVersion> keptVersion = version(kept.change());
    Optional<ItemVersion> version = version(change);
    if (keptVersion.isPresent()
        && version.isPresent()
        && version.get().compareTo(keptVersion.get()) < 0) {
      return false;
    }
    byKey.remove(change.key());
    return true;
  }

  /** Stops to keep the change of an item. */
  void drop(String key) {
    byKey.remove(key);
  }

  /** Stops to keep the changes whose grace period has ended, and returns them. */
  List<Change> expire(long nowMillis) {
    List<Change> expired = new ArrayList<>();
    for (var all = byKey.values().iterator(); all.hasNext(); ) {
      Retained retained = all.next();
      if (retained.untilMillis() <= nowMillis) {
        expired.add(retained.change());
        all.remove();
      }
    }
    return expired;
  }

  private Optional<ItemVersion> version(Change change) {
    return change.value().flatMap(value -> rules.version(change.key(), value));
  }

  private static long until(long graceMillis, long nowMillis) {
    return graceMillis == ItemRules.FOREVER_MILLIS
        ? ItemRules.FOREVER_MILLIS
        : nowMillis + graceMillis;
  }

  private static RetainedChange statement(Retained retained, long nowMillis) {
    long untilMillis = retained.untilMillis();
    long remainingMillis =
        untilMillis == ItemRules.FOREVER_MILLIS
            ? ItemRules.FOREVER_MILLIS
            : Math.max(0, untilMillis - nowMillis);
    return new RetainedChange(retained.position().era(), retained.change(), remainingMillis);
  }
}
