package org.ragworttide.coordination.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.ragworttide.coordination.control.ByteBudget.Priority;
import org.testng.annotations.Test;

/** Tests the limit and the order in which priorities are dropped. */
public class ByteBudgetTest {
  private static final long SEED = Long.getLong("seed", 20261204);

  @Test
  public void neverPassesMoreThanBurstPlusRateTimesWindow() {
    SplittableRandom random = new SplittableRandom(SEED);
    ByteBudget budget = new ByteBudget(4_096, 8_192, 0);
    long now = 0;
    for (int i = 0; i < 100_000; i++) {
      now += random.nextInt(5);
      budget.tryConsume(Priority.SAFETY, 1 + random.nextInt(500), now);
      assertTrue(budget.passedBytes() <= 8_192 + now * 4_096 / 1_000, "seed " + SEED);
    }
  }

  @Test
  public void backgroundTrafficIsDroppedFirst() {
    ByteBudget budget = new ByteBudget(100, 1_000, 0);
    assertTrue(budget.tryConsume(Priority.BACKGROUND, 500, 0));
    assertFalse(budget.tryConsume(Priority.BACKGROUND, 1, 0));
    assertTrue(budget.tryConsume(Priority.SERVICE, 250, 0));
    assertFalse(budget.tryConsume(Priority.SERVICE, 1, 0));
    assertTrue(budget.tryConsume(Priority.SAFETY, 250, 0));
    assertFalse(budget.tryConsume(Priority.SAFETY, 1, 0));
    assertEquals(budget.dropped(Priority.BACKGROUND), 1);
  }

  @Test
  public void claimsLeaveCapacityForLeasesAndPermits() {
    ByteBudget budget = new ByteBudget(100, 1_000, 0);
    assertTrue(budget.tryConsume(Priority.CLAIM, 650, 0));
    assertFalse(budget.tryConsume(Priority.CLAIM, 1, 0));
    assertTrue(budget.tryConsume(Priority.SERVICE, 100, 0));
    assertTrue(budget.tryConsume(Priority.SAFETY, 250, 0));
  }

  @Test
  public void budgetRefillsOverTime() {
    ByteBudget budget = new ByteBudget(100, 1_000, 0);
    assertTrue(budget.tryConsume(Priority.SAFETY, 1_000, 0));
    assertFalse(budget.tryConsume(Priority.SAFETY, 100, 999));
    assertTrue(budget.tryConsume(Priority.SAFETY, 100, 1_000));
    assertTrue(budget.tryConsume(Priority.SAFETY, 1_000, Long.MAX_VALUE / 4));
  }
}
