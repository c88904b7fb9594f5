package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest change of each item of the store that a VM knows, from which it serves other VMs.
 *
 * <p>Handles VMs that learn changes from the store and from several peers in any order, twice or
 * late: the store's revisions decide within an era of the store, and the versions of the items'
 * writers between eras.
 *
 * <p>Invariants: the known position never decreases; a change of a key is never followed by an
 * older one, apart from {@link RetainedChanges} that the store does not confirm; a batch is applied
 * only if no change before it is missing. At most {@link #MAX_DELETIONS} deletions are kept: a VM
 * that lacks older ones receives a listing. Confined to one thread.
 */
public final class ChangeLog {
  /** Maximum number of deletions kept: many times the servers that leave within a minute. */
  static final int MAX_DELETIONS = 1_024;

  private record Entry(long revision, Optional<byte[]> value, long finalAtMillis) {
    private Change change(String key, long nowMillis) {
      return new Change(key, revision, value, Math.max(0, finalAtMillis - nowMillis));
    }
  }

  /** In the order of the writes, the latest last. */
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /** The last revision that was known of each earlier era. */
  private final Map<Long, Long> endsOfEras = new HashMap<>();

  private final RetainedChanges retained;
  private int deletions;
  private StorePosition position = StorePosition.NONE;
  private long oldestKnownRevision;

  /**
   * Creates a log without any change.
   *
   * @param rules by which changes of different eras are compared
   */
  public ChangeLog(ItemRules rules) {
    this.retained = new RetainedChanges(rules);
  }

  /** Returns the position up to which all changes are known. */
  public StorePosition position() {
    return position;
  }

  /** Returns whether the batch can be applied: no change before it is missing. */
  public boolean follows(ChangeBatch batch) {
    if (position.isNone() || batch.era() > position.era()) {
      return batch.listing();
    }
    return batch.era() == position.era()
        && (batch.listing()
            ? batch.revision() >= position.revision()
            : batch.afterRevision() <= position.revision());
  }

  /**
   * Applies a batch.
   *
   * @return the changes that were not known, in the order of their revisions; empty if the batch
   *     does not follow the known position
   */
  public List<Change> apply(ChangeBatch batch, long nowMillis) {
    if (!follows(batch)) {
      return List.of();
    }
    boolean startsEra = !position.isNone() && batch.era() > position.era();
    List<Change> applied = startsEra ? startEra(batch, nowMillis) : continueEra(batch, nowMillis);
    if (batch.position().isAfter(position)) {
      position = batch.position();
    }
    dropOldDeletions();
    return applied;
  }

  private List<Change> continueEra(ChangeBatch batch, long nowMillis) {
    List<Change> ordered = new ArrayList<>(batch.changes());
    if (batch.listing()) {
      ordered.addAll(missing(batch));
      oldestKnownRevision = position.isNone() ? batch.revision() : oldestKnownRevision;
    }
    ordered.sort(Comparator.comparingLong(Change::revision));
    List<Change> applied = new ArrayList<>();
    for (Change change : ordered) {
      boolean isForgotten = !batch.listing() && isDeletionForgotten(change);
      if (!isForgotten && put(change, nowMillis) && retained.confirm(change)) {
        applied.add(change);
      }
    }
    return applied;
  }

  /** Returns whether the item of an old change has been deleted since, and the deletion dropped. */
  private boolean isDeletionForgotten(Change change) {
    return change.revision() <= oldestKnownRevision && !entries.containsKey(change.key());
  }

  /** Replaces all entries by a listing of a later era, and keeps what is newer than its items. */
  private List<Change> startEra(ChangeBatch listing, long nowMillis) {
    Map<String, RetainedChange> known = new LinkedHashMap<>();
    entries.forEach(
        (key, entry) ->
            known.put(key, new RetainedChange(position.era(), entry.change(key, nowMillis), 0)));
    retained.all(nowMillis).forEach(change -> known.put(change.change().key(), change));
    endsOfEras.put(position.era(), position.revision());
    entries.clear();
    deletions = 0;
    oldestKnownRevision = listing.revision();
    Set<String> keys = new LinkedHashSet<>(known.keySet());
    List<Change> ordered = new ArrayList<>(listing.changes());
    ordered.sort(Comparator.comparingLong(Change::revision));
    for (Change item : ordered) {
      put(item, nowMillis);
      keys.add(item.key());
    }
    List<Change> applied = new ArrayList<>();
    for (String key : keys) {
      replace(key, Optional.ofNullable(known.get(key)), listing.revision(), nowMillis)
          .ifPresent(applied::add);
    }
    applied.sort(Comparator.comparingLong(Change::revision));
    return applied;
  }

  /** Returns the change of an item that follows from the start of an era. */
  private Optional<Change> replace(
      String key, Optional<RetainedChange> known, long listingRevision, long nowMillis) {
    Optional<Change> present = entry(key, nowMillis);
    if (known.isEmpty()) {
      return present;
    }
    Change before = known.get().change();
    if (retained.outdates(before, present)) {
      retained.retain(known.get().position(), before, present.isEmpty(), nowMillis);
      return Optional.empty();
    }
    retained.drop(key);
    Change after = present.orElse(Change.deletion(key, listingRevision, 0));
    return Change.hasSameValue(before, after) ? Optional.empty() : Optional.of(after);
  }

  private Optional<Change> entry(String key, long nowMillis) {
    return Optional.ofNullable(entries.get(key)).map(entry -> entry.change(key, nowMillis));
  }

  /** Returns the changes of earlier eras that are kept until the store confirms them. */
  public List<RetainedChange> retained(long nowMillis) {
    return retained.all(nowMillis);
  }

  /** Returns a number that increases whenever {@link #retained} includes a further change. */
  public long retainedAdditions() {
    return retained.additions();
  }

  /**
   * Keeps the changes that another VM keeps and that are newer than what this VM knows. A change
   * that this VM has known in its era is none of them: it has been kept, replaced or given up here.
   *
   * @return the changes that were not known
   */
  public List<Change> retain(List<RetainedChange> received, long nowMillis) {
    List<Change> applied = new ArrayList<>();
    for (RetainedChange change : received) {
      if (isNews(change) && retain(change, nowMillis)) {
        applied.add(change.change());
      }
    }
    return applied;
  }

  private boolean retain(RetainedChange received, long nowMillis) {
    String key = received.change().key();
    Optional<Change> present = entry(key, nowMillis);
    boolean isDeleted = present.isPresent() && present.get().value().isEmpty();
    if (isDeleted || !retained.outdates(received.change(), present)) {
      return false;
    }
    Optional<Change> before =
        retained.get(key, nowMillis).map(RetainedChange::change).or(() -> present);
    long additions = retained.additions();
    retained.retain(received, nowMillis);
    return retained.additions() > additions
        && !(before.isPresent() && Change.hasSameValue(before.get(), received.change()));
  }

  private boolean isNews(RetainedChange received) {
    long knownRevision = endsOfEras.getOrDefault(received.era(), 0L);
    return received.era() < position.era() && received.change().revision() > knownRevision;
  }

  /**
   * Gives up the changes of earlier eras that the store has not confirmed in time.
   *
   * @return the changes to what the store has
   */
  public List<Change> expireRetained(long nowMillis) {
    List<Change> applied = new ArrayList<>();
    for (Change expired : retained.expire(nowMillis)) {
      String key = expired.key();
      Change present = entry(key, nowMillis).orElse(Change.deletion(key, position.revision(), 0));
      if (!Change.hasSameValue(expired, present)) {
        applied.add(present);
      }
    }
    return applied;
  }

  /** Returns the changes after the position, or a listing if older deletions are not known. */
  public ChangeBatch changesAfter(StorePosition after, long nowMillis) {
    if (after.era() > position.era()) {
      return ChangeBatch.changes(position, position.revision(), List.of());
    }
    boolean listing = after.era() < position.era() || after.revision() < oldestKnownRevision;
    List<Change> changes = new ArrayList<>();
    long graceMillis = 0;
    for (Map.Entry<String, Entry> entry : entries.entrySet()) {
      Change change = entry.getValue().change(entry.getKey(), nowMillis);
      graceMillis = Math.max(graceMillis, change.graceMillis());
      boolean isIncluded =
          listing ? change.value().isPresent() : change.revision() > after.revision();
      if (isIncluded) {
        changes.add(change);
      }
    }
    return listing
        ? ChangeBatch.listing(position, changes, graceMillis)
        : ChangeBatch.changes(
            after.isAfter(position) ? position : after, position.revision(), changes);
  }

  private List<Change> missing(ChangeBatch listing) {
    Set<String> listed = new HashSet<>();
    listing.changes().forEach(change -> listed.add(change.key()));
    List<Change> missing = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          boolean exists = entry.value().isPresent() && entry.revision() <= listing.revision();
          if (exists && !listed.contains(key)) {
            missing.add(Change.deletion(key, listing.revision(), listing.listingGraceMillis()));
          }
        });
    return missing;
  }

  private boolean put(Change change, long nowMillis) {
    Entry known = entries.get(change.key());
    if (known != null && known.revision() >= change.revision()) {
      return false;
    }
    if (known != null && known.value().isEmpty()) {
      deletions--;
    }
    if (change.value().isEmpty()) {
      deletions++;
    }
    entries.remove(change.key());
    entries.put(
        change.key(),
        new Entry(change.revision(), change.value(), nowMillis + change.graceMillis()));
    return true;
  }

  private void dropOldDeletions() {
    if (deletions <= MAX_DELETIONS) {
      return;
    }
    for (var all = entries.values().iterator(); deletions > MAX_DELETIONS && all.hasNext(); ) {
      Entry entry = all.next();
      if (entry.value().isEmpty()) {
        oldestKnownRevision = Math.max(oldestKnownRevision, entry.revision());
        deletions--;
        all.remove();
      }
    }
  }
}
