package org.ragworttide.coordination.queueing;

/**
 * A request in a queue with what the embedder attached to it.
 *
 * <p>Invariant: it leaves the queue once: dispatched, refused or cancelled. Confined to the
 * coordination thread.
 *
 * @param <T> the type of the attachment
 */
public final class Entry<T> {
  private final Work work;
  private final T attachment;
  private boolean waiting = true;

  Entry(Work work, T attachment) {
    this.work = work;
    this.attachment = attachment;
  }

  /** Returns the request. */
  public Work work() {
    return work;
  }

  /** Returns what the embedder attached. */
  public T attachment() {
    return attachment;
  }

  /** Tells whether the request still waits. */
  public boolean isWaiting() {
    return waiting;
  }

  void leave() {
    waiting = false;
  }
}
