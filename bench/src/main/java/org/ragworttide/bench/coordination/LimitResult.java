package org.ragworttide.bench.coordination;

/**
 * Results of one trial; immutable.
 *
 * @param overshoot maximum over all windows of the requests above burst plus rate times window
 * @param wrongful shortfall of admissions against one ideal token bucket per organisation, as a
 *     share of what the ideal buckets admit
 * @param worstServed lowest ratio, over the organisations, of admissions to those of the ideal
 *     bucket
 * @param fixedOvershoot {@code overshoot} with fixed equal shares
 * @param fixedWrongful {@code wrongful} with fixed equal shares
 * @param fixedWorstServed {@code worstServed} with fixed equal shares
 */
record LimitResult(
    double overshoot,
    double wrongful,
    double worstServed,
    double fixedOvershoot,
    double fixedWrongful,
    double fixedWorstServed) {}
