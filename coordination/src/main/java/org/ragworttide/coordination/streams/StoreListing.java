package org.ragworttide.coordination.streams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * What a listing of the store tells a VM that has just started of the time before: which revision
 * is older than a given time, and whether anything but the listed items was written since.
 *
 * <p>Handles the loss of all VMs at once. Each write and each deletion takes a revision of its own.
 * If each revision since a time belongs to an item that is still listed as it was written then,
 * nothing has been deleted or replaced since. Otherwise only the store's history tells what was.
 * The items bear no times, apart from the starts of upstreams, which publish their entries soon
 * after.
 *
 * <p>A store that has returned from a copy has lost what happened since the copy was made, so its
 * listing tells nothing of the past. Immutable, safe for use by any thread.
 */
public final class StoreListing {
  /**
   * Milliseconds from the start of an upstream within which it has published its entry, and by
   * which its clock may differ from that of the VM.
   */
  public static final long PUBLICATION_MILLIS = 10_000;

  /** A listing that tells nothing of the past. */
  public static final StoreListing NONE = new StoreListing(List.of(), 0);

  /**
   * An item of the listing.
   *
   * @param createdRevision the revision of its first write
   * @param revision the revision of its last write
   * @param startedAtMillis the Unix time in milliseconds at which the upstream that it describes
   *     has started at the latest, 0 if it describes none
   */
  public record Item(long createdRevision, long revision, long startedAtMillis) {}

  /**
   * A revision that is older than a time.
   *
   * @param revision the revision
   * @param beforeUnixMillis the Unix time in milliseconds before which it was given out
   */
  public record Mark(long revision, long beforeUnixMillis) {}

  private final List<Item> upstreams;
  private final long lastLostRevision;

  private StoreListing(List<Item> upstreams, long lastLostRevision) {
    this.upstreams = upstreams;
    this.lastLostRevision = lastLostRevision;
  }

  /**
   * Returns what a listing tells.
   *
   * @param era the number of the store's returns from copies
   * @param revision the store's revision before the first page was read; items that were written
   *     later are ignored, those that they have replaced count as lost
   * @param items the items of all pages
   */
  public static StoreListing of(long era, long revision, Collection<Item> items) {
    if (era > 0) {
      return NONE;
    }
    Set<Long> listed = new HashSet<>();
    List<Item> upstreams = new ArrayList<>();
    for (Item item : items) {
      listed.add(item.revision());
      if (item.startedAtMillis() > 0) {
        upstreams.add(item);
      }
    }
    long lost = revision;
    while (lost > 0 && listed.contains(lost)) {
      lost--;
    }
    return new StoreListing(List.copyOf(upstreams), lost);
  }

  /**
   * Returns the first revision that is older than a time, as far as the starts of upstreams tell.
   * The first and not the last: an entry that expired and was published again is younger than its
   * upstream.
   *
   * @param unixMillis the Unix time in milliseconds
   */
  public Optional<Mark> markBefore(long unixMillis) {
    return upstreams.stream()
        .filter(it -> it.createdRevision() > 0)
        .map(it -> new Mark(it.createdRevision(), it.startedAtMillis() + PUBLICATION_MILLIS))
        .filter(mark -> mark.beforeUnixMillis() <= unixMillis)
        .min(Comparator.comparingLong(Mark::revision));
  }

  /** Returns whether nothing that was present after the mark was deleted or replaced since. */
  public boolean isCompleteSince(Mark mark) {
    return lastLostRevision <= mark.revision()
        && upstreams.stream().noneMatch(it -> isRestarted(it, mark));
  }

  /** Returns whether an upstream that was listed before the mark may have started again since. */
  private static boolean isRestarted(Item upstream, Mark mark) {
    return upstream.createdRevision() <= mark.revision()
        && upstream.revision() > mark.revision()
        && upstream.startedAtMillis() > mark.beforeUnixMillis();
  }
}
