package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Replays patterns of failing upstreams before the detector. */
public class OutlierDetectorTest {
  private OutlierDetector detector;

  /** Begins with a detector that has heard nothing. */
  @BeforeMethod
  public void start() {
    detector = new OutlierDetector();
  }

  private static UpstreamId id(int index) {
    return new UpstreamId("upstream-" + index);
  }

  private long out(int upstreams, double[] failureShares, int rounds) {
    SplittableRandom random = new SplittableRandom(20261204);
    long outs = 0;
    for (int round = 0; round < rounds; round++) {
      for (int i = 0; i < upstreams; i++) {
        if (random.nextDouble() < failureShares[i]) {
          detector.failed(id(i), round * 100L);
        } else {
          detector.answered(id(i));
        }
        outs += detector.isOut(id(i), round * 100L) ? 1 : 0;
      }
    }
    return outs;
  }

  @Test
  public void upstreamThatFailsHalfOfItsRequestsIsTakenOut() {
    double[] shares = new double[13];
    shares[4] = 0.45;
    assertTrue(out(13, shares, 50) > 5);
  }

  @Test
  public void upstreamsThatAllFailTwoInHundredStay() {
    double[] shares = new double[13];
    Arrays.fill(shares, 0.02);
    assertTrue(out(13, shares, 200) < 13 * 200 / 100);
  }

  @Test
  public void upstreamsThatAllFailAlikeMostlyStay() {
    double[] shares = new double[13];
    Arrays.fill(shares, 0.45);
    assertTrue(out(13, shares, 200) < 13 * 200 / 10);
  }

  @Test
  public void upstreamWhoseAddressAnswersForAnotherIsOutAtOnce() {
    detector.misdirected(id(0), 0);
    assertTrue(detector.isOut(id(0), 900));
  }

  @Test
  public void unreachableUpstreamIsOutAtOnceAndTriedAgain() {
    detector.unreachable(id(0), 0);
    assertTrue(detector.isOut(id(0), 500));
    assertFalse(detector.isOut(id(0), 1_500));
  }
}
