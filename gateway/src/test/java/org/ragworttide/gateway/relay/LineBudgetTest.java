package org.ragworttide.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Bounds the lines of a busy event. */
public class LineBudgetTest {

  @Test
  public void linesOverTheBudgetAreLeftOutAndCounted() {
    LineBudget budget = new LineBudget(40);
    int passed = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      passed += budget.tryPass(millis) ? 1 : 0;
    }
    assertEquals(passed, 400);
    assertEquals(budget.takeLeftOut(), 9_600);
    assertEquals(budget.takeLeftOut(), 0);
  }

  @Test
  public void newSecondPassesLinesAgain() {
    LineBudget budget = new LineBudget(1);
    assertTrue(budget.tryPass(0));
    assertTrue(!budget.tryPass(999));
    assertTrue(budget.tryPass(1_000));
  }
}
