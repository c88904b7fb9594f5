package org.ragworttide.gateway;

import java.util.OptionalDouble;

/**
 * Settings for the ways between availability zones.
 *
 * <p>Invariant: the numbers are in range. Immutable, safe for use by any thread.
 *
 * @param mayBeLost number of zones that may be lost at the same time; if it is positive, the VM
 *     finds out which zones it cannot reach and avoids them
 * @param crossingMillis the price of the way to another zone: milliseconds that callers rather wait
 *     than leave the zone; if it is empty, the VM does not decide how many requests leave
 * @param maxLeavingShare the greatest share of the requests that leave for this reason, 0 to 1
 */
public record ZoneSettings(int mayBeLost, OptionalDouble crossingMillis, double maxLeavingShare) {
  /** Settings of deployments that do not name any. */
  public static final ZoneSettings OFF = new ZoneSettings(0, OptionalDouble.empty(), 0);

  /** Checks the ranges. */
  public ZoneSettings {
    if (mayBeLost < 0
        || crossingMillis.isPresent() && !(crossingMillis.getAsDouble() >= 0)
        || !(maxLeavingShare >= 0 && maxLeavingShare <= 1)) {
      throw new IllegalArgumentException(
          "zones.mayBeLost and zones.crossingMillis must not be negative and"
              + " zones.maxLeavingShare must be from 0 to 1");
    }
  }
}
