package org.ragworttide.daemon.peer;

import org.ragworttide.coordination.control.ByteBudget;
import org.ragworttide.coordination.control.ByteBudget.Priority;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.time.TimerService;

/**
 * Limits the bytes that a daemon sends to peers, with a priority for each topic.
 *
 * <p>Invariant: within any period, the bytes sent do not exceed the rate times the period plus the
 * burst. Confined to the coordination thread.
 */
public final class SendBudget {
  private static final int BURST_SECONDS = 60;

  private final TimerService time;
  private final ByteBudget budget;

  /**
   * Creates a full budget.
   *
   * @param time the timer service
   * @param bytesPerSecond the rate, positive
   */
  public SendBudget(TimerService time, int bytesPerSecond) {
    this.time = time;
    this.budget = new ByteBudget(bytesPerSecond, bytesPerSecond * BURST_SECONDS, time.nowMillis());
  }

  /**
   * Consumes the bytes of a message; returns whether the budget allowed it, else it must be
   * dropped.
   */
  boolean tryConsume(PeerMessage message, int bytes) {
    return budget.tryConsume(priority(message), bytes, time.nowMillis());
  }

  private static Priority priority(PeerMessage message) {
    return switch (message) {
      case LeaseMessage topic -> Priority.SAFETY;
      case ClaimMessage topic -> Priority.CLAIM;
      case GroupMessage topic -> Priority.SAFETY;
      case QuarantineMessage topic -> Priority.SAFETY;
      case LimitMessage topic -> Priority.SERVICE;
      case AdmissionMessage topic -> Priority.SERVICE;
      case MembershipMessage topic -> Priority.BACKGROUND;
      // A whole document comes in many chunks, which must not displace the announcement of a
      // version.
      case VersionMessage.Chunk chunk -> Priority.BACKGROUND;
      case VersionMessage topic -> Priority.SAFETY;
    };
  }
}
