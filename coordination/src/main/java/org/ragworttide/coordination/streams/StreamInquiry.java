package org.ragworttide.coordination.streams;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Question of a VM to others about the version that began a stream.
 *
 * <p>Ends with the first VM that knows it, or when no VM that may know it is left. Answers may be
 * lost or come twice. Confined to one thread.
 */
public final class StreamInquiry {
  private final Set<Long> unanswered;
  private final boolean othersMayKnow;
  private Optional<SoftwareVersion> version = Optional.empty();

  /**
   * Creates an inquiry.
   *
   * @param asked the VMs that are asked
   * @param othersMayKnow whether VMs that this one does not know yet may remember the stream
   */
  public StreamInquiry(Collection<Long> asked, boolean othersMayKnow) {
    this.unanswered = new HashSet<>(asked);
    this.othersMayKnow = othersMayKnow;
  }

  /** Records the version that a VM remembers. */
  public void recordKnown(SoftwareVersion known) {
    version = Optional.of(known);
  }

  /** Records that a VM does not remember the stream. */
  public void recordNotKnown(long vm) {
    unanswered.remove(vm);
  }

  /** Returns whether no further answer is awaited. */
  public boolean isEnded() {
    return version.isPresent() || unanswered.isEmpty() && !othersMayKnow;
  }

  /** Returns the version, empty if no VM has named it. */
  public Optional<SoftwareVersion> version() {
    return version;
  }
}
