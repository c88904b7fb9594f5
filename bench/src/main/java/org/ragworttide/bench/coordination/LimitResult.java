package org.ragworttide.bench.coordination;

/**
 * What one trial measured; immutable.
 *
 * @param overshoot requests above burst plus rate times window, at most over all windows
 * @param wrongful shortfall of admissions against one ideal bucket an organisation, as a share of
 *     what the ideal buckets admit
 * @param worstServed lowest share of an organisation's admissions against its ideal bucket
 * @param fixedOvershoot the same overshoot with fixed equal shares
 * @param fixedWrongful the same share with fixed equal shares
 * @param fixedWorstServed the same lowest share with fixed equal shares
 */
record LimitResult(
    double overshoot,
    double wrongful,
    double worstServed,
    double fixedOvershoot,
    double fixedWrongful,
    double fixedWorstServed) {}
