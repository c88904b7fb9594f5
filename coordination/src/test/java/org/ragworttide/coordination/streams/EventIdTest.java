package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which events may continue a stream after the last one that was passed on. */
public class EventIdTest {
  /** The last id, the next one, and whether it may follow. */
  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      {"9", "10", true},
      {"10", "9", false},
      {"7", "7", false},
      {"7", "007", false},
      {"7", "9", true},
      {"999999999999999998", "999999999999999999", true},
      {"a", "a", false},
      {"b", "a", true},
      {"7", "b", true},
      {"1000000000000000000000", "2", true},
      {"1000000000000000000000", "1000000000000000000000", false},
      {"-1", "-2", true},
    };
  }

  /** Guards against ids that are compared as texts, or ordered where their order is not known. */
  @Test(dataProvider = "pairs")
  public void onlyWholeNumbersAreOrdered(String last, String next, boolean mayFollow) {
    assertEquals(new EventId(next).mayFollow(new EventId(last)), mayFollow);
  }
}
