package org.ragworttide.coordination.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Tests which VMs a VM asks for the streams that it is to keep. */
public class HandoverRequestsTest {
  private static final long REPEAT = HandoverRequests.REPEAT_MILLIS;

  @Test
  public void vmIsAskedUntilItHasAnswered() {
    HandoverRequests requests = new HandoverRequests();
    assertEquals(requests.next(List.of(1L), 0), List.of(1L));
    assertEquals(requests.next(List.of(1L), REPEAT - 1), List.of());
    assertEquals(requests.next(List.of(1L), REPEAT), List.of(1L));
    requests.recordAnswered(1);
    assertEquals(requests.next(List.of(1L), 10 * REPEAT), List.of());
  }

  @Test
  public void vmThatDoesNotAnswerIsAskedLessOften() {
    HandoverRequests requests = new HandoverRequests();
    int asked = 0;
    for (long now = 0; now < 30_000; now += HandoverRequests.PERIOD_MILLIS) {
      asked += requests.next(List.of(1L), now).size();
    }
    assertTrue(asked <= HandoverRequests.QUICK_REQUESTS + 10, "asked " + asked);
  }

  @Test
  public void vmThatWasForgottenIsAskedAgain() {
    HandoverRequests requests = new HandoverRequests();
    requests.next(List.of(1L), 0);
    requests.recordAnswered(1);
    requests.next(List.of(), REPEAT);
    assertEquals(requests.next(List.of(1L), 2 * REPEAT), List.of(1L));
  }

  @Test
  public void largeFleetIsAskedWithinSecondsAndNotAtOnce() {
    HandoverRequests requests = new HandoverRequests();
    Set<Long> fleet = LongStream.range(0, 344).boxed().collect(Collectors.toSet());
    Set<Long> asked = new HashSet<>();
    for (long now = 0; now < 5_000; now += HandoverRequests.PERIOD_MILLIS) {
      List<Long> next = requests.next(fleet, now);
      assertTrue(next.size() <= HandoverRequests.MAX_REQUESTS, "asked " + next);
      next.forEach(requests::recordAnswered);
      asked.addAll(next);
    }
    assertEquals(asked, fleet);
  }
}
