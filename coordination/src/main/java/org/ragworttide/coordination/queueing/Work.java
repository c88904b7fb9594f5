package org.ragworttide.coordination.queueing;

import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Request that waits for an upstream.
 *
 * <p>Invariants: the cost is positive, the expected time is not negative. Immutable, safe for use
 * by any thread.
 *
 * @param organisation the organisation on whose behalf it runs
 * @param priority its priority among the requests of the organisation
 * @param cost its work divided by the organisation's weight, such as its configured rate
 * @param deadlineMillis when its answer must be complete, in the time of the timer service
 * @param expectedMillis expected time from sending it to its complete answer
 */
public record Work(
    OrganisationId organisation,
    Priority priority,
    double cost,
    long deadlineMillis,
    long expectedMillis) {

  /** Checks the arguments. */
  public Work {
    Objects.requireNonNull(organisation, "organisation");
    Objects.requireNonNull(priority, "priority");
    if (!(cost > 0) || expectedMillis < 0) {
      throw new IllegalArgumentException("cost must be positive, expectedMillis not negative");
    }
  }

  /**
   * Returns whether the answer can be complete by the deadline if the request is sent at the given
   * time.
   */
  public boolean canFinish(long sentAtMillis) {
    return sentAtMillis + expectedMillis <= deadlineMillis;
  }
}
