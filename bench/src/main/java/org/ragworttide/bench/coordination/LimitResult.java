package org.ragworttide.bench.coordination;

/**
 * What one trial measured; immutable.
 *
 * @param overshoot requests above burst plus rate times window, at most over all windows
 * @param wrongful share of the requests that were refused although inside rate and burst
 * @param worstServed lowest share of an organisation's due requests that were admitted
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
