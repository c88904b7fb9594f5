package org.ragworttide.coordination.streams;

import java.util.Collection;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What a listing of the store tells a VM that has just started of the time before: whether anything
 * but the listed items was written since the first stream may have begun.
 *
 * <p>Handles the loss of all VMs at once. Each write and each deletion takes a revision of its own,
 * and no stream begins before the first configuration is written. If each later revision belongs to
 * an item that is still listed as it was written then, no upstream has gone or started again since.
 * Otherwise only the store's history tells what was. Times do not help: the items bear none but the
 * starts of upstreams, which may publish their entries long after.
 *
 * <p>A store that has returned from a copy has lost what happened since the copy was made, so its
 * listing tells nothing of the past. Immutable, safe for use by any thread.
 */
public final class StoreListing {
  /** A listing that tells nothing of the past. */
  public static final StoreListing NONE = new StoreListing(OptionalLong.empty(), false);

  private final OptionalLong historyStart;
  private final boolean complete;

  /** What an item of the listing describes. */
  public enum Kind {
    /** The operator's configuration, which is never deleted. */
    CONFIGURATION,
    /** An upstream, which may start again under its key. */
    UPSTREAM,
    /** Anything else. */
    OTHER
  }

  /**
   * An item of the listing.
   *
   * @param createdRevision the revision of its first write, 0 if unknown
   * @param revision the revision of its last write
   */
  public record Item(Kind kind, long createdRevision, long revision) {}

  private StoreListing(OptionalLong historyStart, boolean complete) {
    this.historyStart = historyStart;
    this.complete = complete;
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
    OptionalLong configured =
        items.stream()
            .filter(item -> item.kind() == Kind.CONFIGURATION && item.createdRevision() > 0)
            .mapToLong(Item::createdRevision)
            .findFirst();
    if (era > 0 || configured.isEmpty()) {
      return NONE;
    }
    long first =
        items.stream()
            .mapToLong(Item::createdRevision)
            .filter(created -> created > 0)
            .min()
            .getAsLong();
    return new StoreListing(
        OptionalLong.of(first - 1), isComplete(configured.getAsLong(), revision, items));
  }

  private static boolean isComplete(long since, long revision, Collection<Item> items) {
    Set<Long> listed = new HashSet<>();
    items.forEach(item -> listed.add(item.revision()));
    for (long later = since + 1; later <= revision; later++) {
      if (!listed.contains(later)) {
        return false;
      }
    }
    return items.stream()
        .filter(item -> item.kind() == Kind.UPSTREAM)
        .noneMatch(item -> item.createdRevision() <= since && item.revision() > since);
  }

  /** Returns whether no upstream has gone or started again since the first configuration. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns a revision before all listed items, after which the history tells what has gone. */
  public OptionalLong historyStart() {
    return historyStart;
  }
}
