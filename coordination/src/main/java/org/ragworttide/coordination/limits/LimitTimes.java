package org.ragworttide.coordination.limits;

/** Durations of the permit protocol; stateless, safe for use by any thread. */
final class LimitTimes {
  static final int PERMIT_MILLIS = 2_000;
  static final int MIN_PERMIT_MILLIS = 50;
  static final int CONFIRMED_MILLIS = 60_000;
  static final int MIN_LENDER_RETRY_MILLIS = 200;
  static final int ASK_TIMEOUT_MILLIS = 300;
  static final int BATCH_DELAY_MILLIS = 2;
  static final int CLOSE_DELAY_MILLIS = 300;
  static final int SWEEP_PERIOD_MILLIS = 200;
  static final int RETURN_MARGIN_MILLIS = 600;

  private LimitTimes() {}
}
