package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a VM knows of the rejections that upstreams tolerate. */
public class RejectionToleranceTest {
  private static final long NOW = 1_000_000;
  private static final OptionalInt NONE = OptionalInt.empty();

  private RejectionTolerance tolerance;

  /** Creates the tolerance of a service whose upstreams have stated none. */
  @BeforeMethod
  public void create() {
    tolerance = new RejectionTolerance(7);
  }

  @Test
  public void newestStatementOfAnyUpstreamIsInForce() {
    assertTrue(tolerance.recordAnswer(1, OptionalInt.of(5), NOW));
    assertFalse(tolerance.recordAnswer(2, OptionalInt.of(5), NOW + 1));
    assertTrue(tolerance.recordAnswer(2, OptionalInt.of(2), NOW + 2));
    assertEquals(tolerance.perSecond(NOW + 2), OptionalInt.of(2));
    assertEquals(tolerance.sinceMillis(), NOW);
  }

  /** Guards against an upstream without statements that ends those of others. */
  @Test
  public void onlyUpstreamsThatHaveStatedToleranceEndIt() {
    tolerance.recordAnswer(1, OptionalInt.of(5), NOW);
    assertFalse(tolerance.recordAnswer(2, NONE, NOW + 1));
    assertTrue(tolerance.recordAnswer(1, NONE, NOW + 2));
    assertEquals(tolerance.perSecond(NOW + 2), NONE);
  }

  @Test
  public void laterStatementOfOtherVmCounts() {
    tolerance.recordAnswer(1, OptionalInt.of(5), NOW);
    assertFalse(tolerance.record(new StatedTolerance(7, NONE, NOW - 1), NOW + 10));
    assertTrue(tolerance.record(new StatedTolerance(7, NONE, NOW + 1), NOW + 10));
    assertEquals(tolerance.news(NOW + 10).orElseThrow().rejectionsPerSecond(), NONE);
  }

  @Test
  public void toleranceThatNobodyStatesAgainExpires() {
    tolerance.recordAnswer(1, OptionalInt.of(5), NOW);
    long end = NOW + RejectionTolerance.LIFETIME_MILLIS;
    assertEquals(tolerance.perSecond(end - 1), OptionalInt.of(5));
    assertEquals(tolerance.perSecond(end), NONE);
    assertTrue(tolerance.news(end).isEmpty());
  }
}
