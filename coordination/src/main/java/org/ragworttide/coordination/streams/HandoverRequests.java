package org.ragworttide.coordination.streams;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which VMs a VM asks for the streams that it is to keep, and when.
 *
 * <p>Handles VMs that are stopped, killed or replaced one after the other in less time than a
 * stream lasts: one that starts knows nothing, and the last one that remembers a stream would soon
 * be gone. Each VM is asked once it becomes known, and again until it has answered, since requests
 * may be lost or a partition may delay them; a few at a time, so that a large fleet that starts
 * together does not ask everybody at once.
 *
 * <p>Invariant: a VM that has answered is not asked again unless it was forgotten in the meantime.
 * Confined to one thread.
 */
public final class HandoverRequests {
  /** Milliseconds between calls of {@link #next}. */
  public static final long PERIOD_MILLIS = 100;

  /** VMs that are asked in a period at most. */
  static final int MAX_REQUESTS = 8;

  /** Milliseconds after which a VM that has not answered is asked again: several round trips. */
  static final long REPEAT_MILLIS = 300;

  /** Requests that follow each other quickly. */
  static final int QUICK_REQUESTS = 5;

  /** Milliseconds between later requests: a VM that is gone is forgotten after many of them. */
  static final long SLOW_REPEAT_MILLIS = 3_000;

  private static final class Asked {
    private int requests;
    private long lastAtMillis;
    private boolean answered;

    private boolean isDue(long nowMillis) {
      long pauseMillis = requests < QUICK_REQUESTS ? REPEAT_MILLIS : SLOW_REPEAT_MILLIS;
      return !answered && (requests == 0 || nowMillis - lastAtMillis >= pauseMillis);
    }
  }

  private final Map<Long, Asked> asked = new HashMap<>();

  /**
   * Returns the VMs to ask now.
   *
   * @param known the numbers of all other VMs that are known
   */
  public List<Long> next(Collection<Long> known, long nowMillis) {
    asked.keySet().retainAll(known);
    List<Long> due = new ArrayList<>();
    for (long vm : known) {
      Asked state = asked.computeIfAbsent(vm, key -> new Asked());
      if (due.size() < MAX_REQUESTS && state.isDue(nowMillis)) {
        state.requests++;
        state.lastAtMillis = nowMillis;
        due.add(vm);
      }
    }
    return due;
  }

  /** Records that a VM has sent the last of its streams. */
  public void recordAnswered(long vm) {
    Asked state = asked.get(vm);
    if (state != null) {
      state.answered = true;
    }
  }
}
