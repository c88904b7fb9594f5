package org.ragworttide.coordination.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Selects the request limits that a VM's next statement includes.
 *
 * <p>Handles many upstreams that name limits at the same time, while a statement has space for few:
 * limits that are news to this VM go first, so that they spread like an epidemic, then those that
 * were included longest ago.
 *
 * <p>Invariant: a statement includes at most {@link #MAX_LIMITS} limits. Confined to one thread.
 */
public final class LimitRotation {
  /** Limits in a statement, twelve bytes each. */
  private static final int MAX_LIMITS = 4;

  private final Map<Integer, Inclusion> inclusions = new HashMap<>();
  private long included;

  private record Inclusion(OptionalDouble perSecond, long number) {}

  /** Returns the limits that the next statement includes, of all that this VM knows. */
  public List<StatedLimit> next(Collection<StatedLimit> known) {
    if (known.isEmpty()) {
      inclusions.clear();
      return List.of();
    }
    List<StatedLimit> next =
        known.stream()
            .sorted(Comparator.comparingLong(this::lastInclusion))
            .limit(MAX_LIMITS)
            .toList();
    inclusions.keySet().retainAll(known.stream().map(StatedLimit::upstream).toList());
    for (StatedLimit limit : next) {
      included++;
      inclusions.put(limit.upstream(), new Inclusion(limit.perSecond(), included));
    }
    return next;
  }

  private long lastInclusion(StatedLimit limit) {
    Inclusion last = inclusions.get(limit.upstream());
    return last == null || !last.perSecond().equals(limit.perSecond()) ? 0 : last.number();
  }
}
