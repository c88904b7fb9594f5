package org.ragworttide.coordination.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.message.MembershipMessage.ListPage;

/**
 * Assembles a list from its pages, which must arrive in order.
 *
 * <p>Invariant: a page out of order changes nothing. Not safe for use by several threads.
 */
final class PageAssembler {
  static final int PAGE_ENTRIES = 16;
  private static final int MAX_PAGES = 1_024;

  private final List<VmEntry> entries = new ArrayList<>();
  private long version;
  private int nextPage;

  /** Returns the page of a list, if it has one of that number. */
  static Optional<ListPage> page(VmList list, int page) {
    int pages = Math.ceilDiv(Math.max(1, list.vms().size()), PAGE_ENTRIES);
    if (page < 0 || page >= pages) {
      return Optional.empty();
    }
    int from = page * PAGE_ENTRIES;
    int to = Math.min(list.vms().size(), from + PAGE_ENTRIES);
    return Optional.of(new ListPage(list.version(), page, pages, list.vms().subList(from, to)));
  }

  /** Adds a page and returns whether it was the expected one. */
  boolean add(ListPage page) {
    if (page.page() == 0) {
      entries.clear();
      version = page.version();
      nextPage = 0;
    }
    if (page.version() != version || page.page() != nextPage || page.pages() > MAX_PAGES) {
      return false;
    }
    entries.addAll(page.entries());
    nextPage++;
    return true;
  }

  /** Returns the version whose pages are being assembled, zero for none. */
  long version() {
    return version;
  }

  int nextPage() {
    return nextPage;
  }

  /** Returns the list once all its pages are present; an invalid list is discarded. */
  Optional<VmList> complete(ListPage last) {
    if (nextPage != last.pages()) {
      return Optional.empty();
    }
    long distinct = entries.stream().map(VmEntry::id).distinct().count();
    return distinct == entries.size() && version > 0
        ? Optional.of(new VmList(version, entries))
        : Optional.empty();
  }
}
