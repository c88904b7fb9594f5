package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Slot that one request in flight occupies at an upstream.
 *
 * <p>Invariant: the request counts towards the upstream's load from the decision until the first
 * release; releasing again has no effect. Confined to the coordination thread.
 */
public final class Slot {
  final long startedAtMillis;
  Slot older;
  Slot newer;
  private final UpstreamTracker tracker;
  private final UpstreamGate gate;
  private final ParallelChats chats;
  private final long chatKey;
  private boolean released;

  Slot(
      UpstreamTracker tracker,
      UpstreamGate gate,
      ParallelChats chats,
      long chatKey,
      long startedAtMillis) {
    this.chats = chats;
    this.chatKey = chatKey;
    this.tracker = tracker;
    this.gate = gate;
    this.startedAtMillis = startedAtMillis;
  }

  /** Returns the upstream that the request goes to. */
  public UpstreamId upstream() {
    return tracker.spec().id();
  }

  /** Returns when the decision was made. */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Releases the slot when the request has ended in any way. */
  public void release() {
    if (!released) {
      released = true;
      tracker.remove(this);
      chats.recordEnd(chatKey);
      gate.leave(upstream());
    }
  }
}
