package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the reports of upstreams that a VM's next statement passes on to other VMs.
 *
 * <p>Handles large fleets, in which each VM sends a sliver of the requests: it receives an answer
 * of each upstream every few tens of seconds, and its statements reach few others. Passed on from
 * VM to VM, a report reaches all of them within about a second. Reports of the busiest upstreams go
 * first, since they decide which upstreams are full; then those that were included longest ago.
 *
 * <p>Invariant: a selection has at most {@link #MAX_REPORTS} reports, none older than {@link
 * #MAX_AGE_MILLIS}. Confined to one thread.
 */
public final class LoadReportSelection {
  /** Reports in a statement, seven bytes each: half of a statement's bytes in a large fleet. */
  static final int MAX_REPORTS = 20;

  /** Reports of the busiest upstreams in a statement. */
  private static final int MAX_BUSIEST = 10;

  /** Milliseconds after which a report is not passed on: it would be outdated on arrival. */
  static final long MAX_AGE_MILLIS = 2_000;

  private static final Comparator<LoadReport> BUSIEST_FIRST =
      Comparator.comparingInt(LoadReport::requests).reversed();

  private final Map<Integer, Long> inclusions = new HashMap<>();
  private long selections;

  /** Returns the reports that the next statement includes, of all that this VM knows. */
  public List<LoadReport> next(Collection<LoadReport> known, long nowMillis) {
    selections++;
    List<LoadReport> recent =
        new ArrayList<>(
            known.stream().filter(it -> nowMillis - it.atMillis() <= MAX_AGE_MILLIS).toList());
    inclusions.keySet().retainAll(recent.stream().map(LoadReport::upstream).toList());
    recent.sort(BUSIEST_FIRST);
    int busiest = Math.min(MAX_BUSIEST, recent.size());
    List<LoadReport> next = new ArrayList<>(recent.subList(0, busiest));
    recent.subList(busiest, recent.size()).stream()
        .sorted(Comparator.comparingLong(it -> inclusions.getOrDefault(it.upstream(), 0L)))
        .limit(MAX_REPORTS - busiest)
        .forEach(next::add);
    next.forEach(it -> inclusions.put(it.upstream(), selections));
    return next;
  }
}
