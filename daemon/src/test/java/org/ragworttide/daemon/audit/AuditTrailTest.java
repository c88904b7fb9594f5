package org.ragworttide.daemon.audit;

import static org.testng.Assert.assertEquals;

import java.time.Clock;
import org.testng.annotations.Test;

/** Tests that the audit trail keeps a bounded number of the newest changes. */
public final class AuditTrailTest {
  private static final int MAX_ENTRIES = 2_000;

  @Test
  public void oldestEntriesAreRemovedFirst() {
    AuditTrail trail = new AuditTrail(Clock.systemUTC());
    for (int i = 1; i <= MAX_ENTRIES + 5; i++) {
      trail.record(AuditAction.ZONE_CHANGED, "configuration " + i, "chania", "IN", "OUT");
    }
    assertEquals(trail.last(Integer.MAX_VALUE).size(), MAX_ENTRIES);
    assertEquals(trail.last(Integer.MAX_VALUE).getFirst().number(), 6);
    assertEquals(trail.last(1).getFirst().actor(), "configuration " + (MAX_ENTRIES + 5));
  }
}
