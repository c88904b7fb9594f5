package org.ragworttide.coordination.queueing;

import java.util.Objects;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * A request that waits for an upstream.
 *
 * <p>Invariants: the cost is positive, the expected time is not negative. Immutable, safe for use
 * by any thread.
 *
 * @param organisation whose request it is
 * @param priority its place among the organisation's own requests
 * @param cost its work divided by the organisation's weight, such as its configured rate
 * @param deadlineMillis when its answer must be whole, in the time of the timer service
 * @param expectedMillis how long its answer takes once it is sent
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

  /** Tells whether the answer can be whole in time if the request is sent at the given time. */
  public boolean canFinish(long sentAtMillis) {
    return sentAtMillis + expectedMillis <= deadlineMillis;
  }
}
