package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the detector with simulated failures of upstreams. */
public class OutlierDetectorTest {
  private OutlierDetector detector;

  /** Creates a detector without recorded outcomes. */
  @BeforeMethod
  public void createDetector() {
    detector = new OutlierDetector();
  }

  private static UpstreamId id(int index) {
    return new UpstreamId("upstream-" + index);
  }

  private long countEjections(int upstreams, double[] failureShares, int rounds) {
    SplittableRandom random = new SplittableRandom(20261204);
    long ejections = 0;
    for (int round = 0; round < rounds; round++) {
      for (int i = 0; i < upstreams; i++) {
        if (random.nextDouble() < failureShares[i]) {
          detector.recordFailure(id(i), round * 100L);
        } else {
          detector.recordSuccess(id(i));
        }
        ejections += detector.isEjected(id(i), round * 100L) ? 1 : 0;
      }
    }
    return ejections;
  }

  @Test
  public void upstreamThatFailsNearlyHalfOfItsRequestsIsEjected() {
    double[] shares = new double[13];
    shares[4] = 0.45;
    assertTrue(countEjections(13, shares, 50) > 5);
  }

  @Test
  public void upstreamsThatAllFailTwoPercentAreRarelyEjected() {
    double[] shares = new double[13];
    Arrays.fill(shares, 0.02);
    assertTrue(countEjections(13, shares, 200) < 13 * 200 / 100);
  }

  @Test
  public void upstreamsThatAllFailAlikeAreRarelyEjected() {
    double[] shares = new double[13];
    Arrays.fill(shares, 0.45);
    assertTrue(countEjections(13, shares, 200) < 13 * 200 / 10);
  }

  @Test
  public void misdirectedUpstreamIsEjectedAtOnce() {
    detector.recordMisdirected(id(0), 0);
    assertTrue(detector.isEjected(id(0), 900));
  }

  @Test
  public void unreachableUpstreamIsEjectedAtOnceAndTriedAgain() {
    detector.recordUnreachable(id(0), 0);
    assertTrue(detector.isEjected(id(0), 500));
    assertFalse(detector.isEjected(id(0), 1_500));
  }
}
