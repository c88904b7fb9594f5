package org.ragworttide.coordination.queueing;

/**
 * Queued request with the attachment of the embedder.
 *
 * <p>Invariant: it leaves the queue exactly once, when it is dispatched, refused or cancelled.
 * Confined to the coordination thread.
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

  /** Returns the attachment of the embedder. */
  public T attachment() {
    return attachment;
  }

  /** Returns whether the request still waits. */
  public boolean isWaiting() {
    return waiting;
  }

  void stopWaiting() {
    waiting = false;
  }
}
