package org.ragworttide.gateway.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the log rate of a frequent event is limited. */
public class LineBudgetTest {

  @Test
  public void linesOverTheLimitAreSuppressedAndCounted() {
    LineBudget budget = new LineBudget(40);
    int logged = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      logged += budget.tryAcquire(millis) ? 1 : 0;
    }
    assertEquals(logged, 400);
    assertEquals(budget.takeSuppressedCount(), 9_600);
    assertEquals(budget.takeSuppressedCount(), 0);
  }

  @Test
  public void linesAreLoggedAgainInTheNextSecond() {
    LineBudget budget = new LineBudget(1);
    assertTrue(budget.tryAcquire(0));
    assertTrue(!budget.tryAcquire(999));
    assertTrue(budget.tryAcquire(1_000));
  }
}
