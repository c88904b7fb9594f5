package org.ragworttide.coordination.queueing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests fair queueing between organisations. */
public class FairQueueTest {
  private static final OrganisationId LOUD = new OrganisationId("loud");
  private static final OrganisationId QUIET = new OrganisationId("quiet");
  private static final long FAR_DEADLINE_MILLIS = Long.MAX_VALUE / 2;

  private ManualTimerService time;
  private List<QueueRefusal> refusals;
  private FairQueue<Integer> queue;

  /** Returns the seeds to run. */
  @DataProvider
  public static Object[][] seeds() {
    int count = Integer.getInteger("seeds", 40);
    long first = Long.getLong("seed", 20261204);
    Object[][] seeds = new Object[count][1];
    for (int i = 0; i < count; i++) {
      seeds[i][0] = first + i;
    }
    return seeds;
  }

  /** Creates a queue that holds at most ten requests. */
  @BeforeMethod
  public void createQueue() {
    time = new ManualTimerService();
    refusals = new ArrayList<>();
    queue = new FairQueue<>(time, new QueueSettings(10, 1_000, 1), (e, why) -> refusals.add(why));
  }

  private static Work work(OrganisationId organisation, long deadline, long expected) {
    return new Work(organisation, Priority.NORMAL, 1, deadline, expected);
  }

  private List<OrganisationId> dispatchAll() {
    List<OrganisationId> order = new ArrayList<>();
    queue.dispatch(entry -> order.add(entry.work().organisation()));
    return order;
  }

  @Test
  public void quietOrganisationDoesNotWaitForBacklogOfLoudOne() {
    for (int i = 0; i < 6; i++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), i);
    }
    queue.offer(work(QUIET, FAR_DEADLINE_MILLIS, 0), 6);
    assertTrue(dispatchAll().indexOf(QUIET) <= 1);
  }

  @Test
  public void idleOrganisationAccumulatesNoMoreThanOneBurst() {
    for (int round = 0; round < 20; round++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), round);
      dispatchAll();
    }
    for (int i = 0; i < 4; i++) {
      queue.offer(work(QUIET, FAR_DEADLINE_MILLIS, 0), i);
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), i);
    }
    assertTrue(dispatchAll().subList(0, 4).contains(LOUD));
  }

  @Test
  public void fullQueueRefusesOrganisationWithMostWaitingRequests() {
    for (int i = 0; i < 10; i++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), i);
    }
    assertTrue(queue.offer(work(QUIET, FAR_DEADLINE_MILLIS, 0), 10) instanceof Offer.Queued);
    assertEquals(refusals, List.of(QueueRefusal.FULL));
    assertTrue(queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), 11) instanceof Offer.Refused);
    assertEquals(queue.size(), 10);
    assertEquals(queue.size(QUIET), 1);
  }

  @Test
  public void requestThatCannotFinishInTimeIsRefusedAndNeverSent() {
    assertTrue(queue.offer(work(QUIET, 100, 101), 1) instanceof Offer.Refused);
    queue.offer(work(QUIET, 100, 50), 2);
    queue.offer(work(QUIET, 200, 50), 3);
    time.advance(51);
    List<Integer> sent = new ArrayList<>();
    queue.dispatch(entry -> sent.add(entry.attachment()));
    assertEquals(sent, List.of(3));
    assertEquals(refusals, List.of(QueueRefusal.TOO_LATE));
  }

  @Test
  public void expiryRefusesWaitingRequestsOnce() {
    queue.offer(work(QUIET, 100, 50), 2);
    time.advance(60);
    queue.expire();
    queue.expire();
    assertEquals(refusals, List.of(QueueRefusal.TOO_LATE));
    assertEquals(queue.size(), 0);
  }

  @Test
  public void requestWithTooLongEstimatedWaitIsRefusedAtOnce() {
    for (int i = 0; i < 9; i++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), i);
    }
    for (int i = 0; i < 5; i++) {
      queue.dispatch(entry -> false);
      time.advance(100);
      int[] remaining = {1};
      queue.dispatch(entry -> remaining[0]-- > 0);
    }
    long now = time.nowMillis();
    assertTrue(queue.offer(work(LOUD, now + 300, 0), 20) instanceof Offer.Refused);
    assertTrue(queue.offer(work(QUIET, now + 300, 0), 21) instanceof Offer.Queued);
  }

  @Test
  public void estimateRefusesNoOrganisationWithinItsBurst() {
    holdAndDispatchOneAfter(500);
    holdAndDispatchOneAfter(500);
    long now = time.nowMillis();
    assertTrue(queue.offer(work(QUIET, now + 100, 0), 20) instanceof Offer.Queued);
    assertTrue(queue.offer(work(QUIET, now + 100, 0), 21) instanceof Offer.Queued);
    assertTrue(queue.offer(work(QUIET, now + 100, 0), 22) instanceof Offer.Refused);
  }

  @Test
  public void irregularGapsDoNotLengthenTheEstimate() {
    for (int round = 0; round < 8; round++) {
      holdAndDispatchOneAfter(910);
      for (int i = 0; i < 9; i++) {
        holdAndDispatchOneAfter(10);
      }
    }
    long estimate = queue.estimatedWaitMillis(LOUD, 1) / queue.size();
    assertTrue(estimate < 150, "estimate " + estimate + " of a mean gap of 100");
  }

  @Test
  public void oneLongGapDoesNotDetermineTheEstimate() {
    holdAndDispatchOneAfter(3_000);
    assertTrue(queue.estimatedWaitMillis(LOUD, 1) / queue.size() <= 1_500);
  }

  @Test
  public void waitForTheFirstDispatchCountsOnceForAllWaitingRequests() {
    for (int i = 0; i < 8; i++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), 0);
    }
    queue.dispatch(entry -> false);
    time.advance(2_000);
    queue.dispatch(entry -> false);
    long estimate = queue.estimatedWaitMillis(LOUD, 1);
    assertTrue(estimate < 3_000, "estimate " + estimate + " after a wait of 2,000");
  }

  @Test
  public void estimateGrowsWhileNothingIsDispatched() {
    holdAndDispatchOneAfter(100);
    queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), 0);
    queue.dispatch(entry -> false);
    final long before = queue.estimatedWaitMillis(LOUD, 1);
    time.advance(2_000);
    assertTrue(queue.estimatedWaitMillis(LOUD, 1) > before + 1_000);
  }

  private void holdAndDispatchOneAfter(long millis) {
    while (queue.size() < 2) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), 0);
    }
    queue.dispatch(entry -> false);
    time.advance(millis);
    int[] remaining = {1};
    queue.dispatch(entry -> remaining[0]-- > 0);
  }

  @Test
  public void priorityOrdersOnlyRequestsOfTheSameOrganisation() {
    queue.offer(work(QUIET, FAR_DEADLINE_MILLIS, 0), 1);
    queue.offer(new Work(LOUD, Priority.BATCH, 1, FAR_DEADLINE_MILLIS, 0), 2);
    queue.offer(new Work(LOUD, Priority.INTERACTIVE, 1, FAR_DEADLINE_MILLIS, 0), 3);
    List<Integer> order = new ArrayList<>();
    queue.dispatch(entry -> order.add(entry.attachment()));
    assertEquals(order, List.of(1, 3, 2));
  }

  @Test
  public void cancelledRequestIsNotSent() {
    Offer.Queued<Integer> queued =
        (Offer.Queued<Integer>) queue.offer(work(QUIET, FAR_DEADLINE_MILLIS, 0), 1);
    queue.cancel(queued.entry());
    queue.cancel(queued.entry());
    assertEquals(dispatchAll(), List.of());
    assertEquals(queue.size(), 0);
    assertFalse(queued.entry().isWaiting());
  }

  @Test(dataProvider = "seeds")
  public void surgingOrganisationsDoNotReduceTheShareOfOthers(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FairQueue<Integer> shared =
        new FairQueue<>(time, new QueueSettings(200, 1_000, 1), (entry, why) -> {});
    Map<OrganisationId, Integer> offered = new HashMap<>();
    Map<OrganisationId, Integer> served = new HashMap<>();
    for (int tick = 0; tick < 4_000; tick++) {
      for (int org = 0; org < 10; org++) {
        double rate = org < 3 ? 0.5 : 0.05;
        if (random.nextDouble() < rate) {
          OrganisationId id = new OrganisationId("org-" + org);
          offered.merge(id, 1, Integer::sum);
          shared.offer(work(id, time.nowMillis() + 1_000, 100), tick);
        }
      }
      time.advance(10);
      int[] remaining = {1};
      shared.dispatch(
          entry -> {
            boolean accepted = remaining[0]-- > 0;
            if (accepted) {
              served.merge(entry.work().organisation(), 1, Integer::sum);
            }
            return accepted;
          });
    }
    for (int org = 3; org < 10; org++) {
      OrganisationId id = new OrganisationId("org-" + org);
      double share = (double) served.get(id) / offered.get(id);
      assertTrue(share > 0.98, id + " served " + share + " seed " + seed);
    }
  }

  @Test
  public void longHoldBeforeBurstCountsOnceForTheWholeBurst() {
    for (int i = 0; i < 8; i++) {
      queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), i);
    }
    queue.dispatch(entry -> false);
    time.advance(8_000);
    queue.dispatch(entry -> false);
    dispatchAll();
    queue.offer(work(LOUD, FAR_DEADLINE_MILLIS, 0), 8);
    assertTrue(queue.estimatedWaitMillis(QUIET, 1) <= 1_000);
    assertTrue(queue.estimatedWaitMillis(LOUD, 1) <= 1_000);
  }
}
