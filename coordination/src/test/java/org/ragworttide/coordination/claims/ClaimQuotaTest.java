package org.ragworttide.coordination.claims;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/** Tests the sharing of new claims between organisations. */
public class ClaimQuotaTest {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final OrganisationId SURGING = new OrganisationId("surging");
  private static final OrganisationId HOTEL = new OrganisationId("hotel");
  private static final OrganisationId PLUMBER = new OrganisationId("plumber");

  private final ManualTimerService time = new ManualTimerService();

  @Test
  public void claimsNeverExceedBurstPlusRateTimesWindow() {
    ClaimQuota quota = new ClaimQuota(time, 4);
    SplittableRandom random = new SplittableRandom(SEED);
    long start = time.nowMillis();
    int begun = 0;
    for (int i = 0; i < 10_000; i++) {
      time.advance(random.nextInt(50));
      begun += quota.tryBegin(random.nextBoolean() ? SURGING : HOTEL) ? 1 : 0;
      assertTrue(begun <= 240 + 4 * (time.nowMillis() - start) / 1_000.0, "seed " + SEED);
    }
  }

  @Test
  public void surgingOrganisationDoesNotReduceTheClaimsOfOthers() {
    ClaimQuota quota = new ClaimQuota(time, 4);
    int others = 0;
    for (int second = 0; second < 120; second++) {
      countBegun(quota, SURGING, 100);
      others += countBegun(quota, HOTEL, 1) + countBegun(quota, PLUMBER, 1);
      time.advance(1_000);
    }
    assertEquals(others, 240);
  }

  @Test
  public void surgingOrganisationIsNotLimitedWhileTheQuotaSuffices() {
    ClaimQuota quota = new ClaimQuota(time, 4);
    assertEquals(countBegun(quota, HOTEL, 1), 1);
    assertEquals(countBegun(quota, SURGING, 150), 150);
  }

  @Test
  public void organisationMayBeginClaimsAgainAfterItsSurge() {
    ClaimQuota quota = new ClaimQuota(time, 4);
    countBegun(quota, HOTEL, 1);
    countBegun(quota, SURGING, 1_000);
    assertEquals(countBegun(quota, SURGING, 1), 0);
    time.advance(60_000);
    assertEquals(countBegun(quota, SURGING, 1), 1);
  }

  @Test
  public void rateMustBePositive() {
    assertThrows(IllegalArgumentException.class, () -> new ClaimQuota(time, 0));
    assertThrows(IllegalArgumentException.class, () -> new ClaimQuota(time, Double.NaN));
  }

  private static int countBegun(ClaimQuota quota, OrganisationId organisation, int arrivals) {
    int begun = 0;
    for (int i = 0; i < arrivals; i++) {
      begun += quota.tryBegin(organisation) ? 1 : 0;
    }
    return begun;
  }
}
