package org.ragworttide.coordination.feed;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the VMs that a reader asks for what they keep of earlier eras of the store.
 *
 * <p>Answers this pattern: a VM starts beside a store that has returned from an older copy, or was
 * cut off while the last changes before the return were made, and has nothing to compare the copy
 * with, while other VMs have.
 *
 * <p>Invariant: a VM that has answered is not selected again within an era. Confined to one thread.
 */
final class Consultation {
  /** Milliseconds for which VMs are asked: time for several attempts with each. */
  static final long DURATION_MILLIS = 3_000;

  /** Milliseconds between two VMs that are asked. */
  static final long PERIOD_MILLIS = 250;

  /** VMs that are asked: some may have started, or been cut off, together with this one. */
  static final int MAX_ANSWERS = 3;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Set<Long> answered = new HashSet<>();
  private long begunAtMillis = NEVER;
  private long askedAtMillis = NEVER;
  private int asked;

  /** Begins to ask, after a start of this VM or of an era of the store. */
  void begin(long nowMillis) {
    begunAtMillis = nowMillis;
    answered.clear();
  }

  /** Returns whether further VMs are to be asked. */
  boolean isActive(long nowMillis) {
    return answered.size() < MAX_ANSWERS && nowMillis - begunAtMillis < DURATION_MILLIS;
  }

  /** Records that a VM has said what it keeps. */
  void recordAnswer(FeedMember from) {
    answered.add(from.address());
  }

  /** Returns the VM to ask now, empty if none is due; the VMs are asked in turn. */
  Optional<FeedMember> next(List<FeedMember> others, long nowMillis) {
    List<FeedMember> remaining =
        others.stream().filter(vm -> !answered.contains(vm.address())).toList();
    boolean isDue = isActive(nowMillis) && nowMillis - askedAtMillis >= PERIOD_MILLIS;
    if (!isDue || remaining.isEmpty()) {
      return Optional.empty();
    }
    askedAtMillis = nowMillis;
    asked++;
    return Optional.of(remaining.get(asked % remaining.size()));
  }
}
