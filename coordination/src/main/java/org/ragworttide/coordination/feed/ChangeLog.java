package org.ragworttide.coordination.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest change of each item of the store that a VM knows, from which it serves other VMs.
 *
 * <p>Handles VMs that learn changes from the store and from several peers in any order, twice or
 * late: the store's revisions decide.
 *
 * <p>Invariants: the known revision never decreases; a change of a key is never followed by an
 * older one; a batch is applied only if no change before it is missing. At most {@link
 * #MAX_DELETIONS} deletions are kept: a VM that lacks older ones receives a listing. Confined to
 * one thread.
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

  private int deletions;
  private long revision;
  private long oldestKnownRevision;

  /** Returns the revision up to which all changes are known, 0 before the first batch. */
  public long revision() {
    return revision;
  }

  /** Returns whether the batch can be applied: no change before it is missing. */
  public boolean follows(ChangeBatch batch) {
    return batch.listing()
        ? batch.revision() >= revision
        : revision > 0 && batch.afterRevision() <= revision;
  }

  /**
   * Applies a batch.
   *
   * @return the changes that were not known, in the order of their revisions; empty if the batch
   *     does not follow the known revision
   */
  public List<Change> apply(ChangeBatch batch, long nowMillis) {
    if (!follows(batch)) {
      return List.of();
    }
    List<Change> applied = new ArrayList<>();
    List<Change> ordered = new ArrayList<>(batch.changes());
    if (batch.listing()) {
      ordered.addAll(missing(batch));
      oldestKnownRevision = revision == 0 ? batch.revision() : oldestKnownRevision;
    }
    ordered.sort(Comparator.comparingLong(Change::revision));
    for (Change change : ordered) {
      if (put(change, nowMillis)) {
        applied.add(change);
      }
    }
    revision = Math.max(revision, batch.revision());
    dropOldDeletions();
    return applied;
  }

  /** Returns the changes after the revision, or a listing if older deletions are not known. */
  public ChangeBatch changesAfter(long afterRevision, long nowMillis) {
    boolean listing = afterRevision < oldestKnownRevision;
    List<Change> changes = new ArrayList<>();
    long graceMillis = 0;
    for (Map.Entry<String, Entry> entry : entries.entrySet()) {
      Change change = entry.getValue().change(entry.getKey(), nowMillis);
      graceMillis = Math.max(graceMillis, change.graceMillis());
      boolean isIncluded = listing ? change.value().isPresent() : change.revision() > afterRevision;
      if (isIncluded) {
        changes.add(change);
      }
    }
    return listing
        ? ChangeBatch.listing(revision, changes, graceMillis)
        : ChangeBatch.changes(Math.min(afterRevision, revision), revision, changes);
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
