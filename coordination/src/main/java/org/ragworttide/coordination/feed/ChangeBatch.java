package org.ragworttide.coordination.feed;

import java.util.List;

/**
 * The changes of the store between two revisions, or the whole contents of the store at a revision.
 *
 * <p>Invariant: no change is newer than the batch's revision, unless the batch is a listing, whose
 * pages may contain later writes. Immutable, safe for use by any thread.
 *
 * @param era the store's era, to which all revisions belong
 * @param afterRevision the revision that a VM must know to apply the changes; 0 for a listing
 * @param revision the revision that a VM knows after it has applied the changes
 * @param listing whether the batch is a listing: items that it lacks do not exist
 * @param changes the newest change of each key
 * @param listingGraceMillis the grace period of the deletions that follow from a listing
 */
public record ChangeBatch(
    long era,
    long afterRevision,
    long revision,
    boolean listing,
    List<Change> changes,
    long listingGraceMillis) {

  /** Checks the revisions. */
  public ChangeBatch {
    if (era < 0 || afterRevision < 0 || revision < afterRevision || listingGraceMillis < 0) {
      throw new IllegalArgumentException(
          "revision " + revision + " does not follow " + afterRevision);
    }
    changes = List.copyOf(changes);
  }

  /** Returns the changes after a position, up to a revision of the same era. */
  public static ChangeBatch changes(StorePosition after, long revision, List<Change> changes) {
    return new ChangeBatch(after.era(), after.revision(), revision, false, changes, 0);
  }

  /** Returns the whole contents of the store at a position. */
  public static ChangeBatch listing(StorePosition at, List<Change> items, long graceMillis) {
    return new ChangeBatch(at.era(), 0, at.revision(), true, items, graceMillis);
  }

  /** Returns the position that a VM has reached after it has applied the changes. */
  public StorePosition position() {
    return new StorePosition(era, revision);
  }
}
