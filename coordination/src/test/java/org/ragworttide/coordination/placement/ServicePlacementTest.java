package org.ragworttide.coordination.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.testng.annotations.Test;

/** Tests placement on plain services under simulated load. */
public class ServicePlacementTest {
  private final ServicePlacement placement =
      new ServicePlacement(new ZoneId("near"), new SplittableRandom(20261204));

  private static UpstreamLoad upstream(String name, String zone) {
    return new UpstreamLoad(new UpstreamId(name), new ZoneId(zone), 6, 0, new PeerLoads());
  }

  private UpstreamLoad choose(List<UpstreamLoad> upstreams) {
    return placement.choose(upstreams, 0).orElseThrow();
  }

  @Test
  public void idleNearUpstreamIsPreferred() {
    UpstreamLoad near = upstream("a", "near");
    UpstreamLoad far = upstream("b", "far");
    assertEquals(choose(List.of(far, near)), near);
  }

  @Test
  public void equalUpstreamsTakeTurns() {
    UpstreamLoad one = upstream("a", "near");
    UpstreamLoad two = upstream("b", "near");
    int first = 0;
    for (int i = 0; i < 100; i++) {
      first += choose(List.of(one, two)) == one ? 1 : 0;
    }
    assertTrue(first > 20 && first < 80, "first chosen " + first + " times");
  }

  @Test
  public void burstIsSharedWithOtherZones() {
    List<UpstreamLoad> upstreams =
        List.of(upstream("a", "near"), upstream("b", "far"), upstream("c", "far"));
    upstreams.forEach(it -> it.recordDuration(80, 0));
    for (int i = 0; i < 18; i++) {
      choose(upstreams).recordStart(0);
    }
    assertTrue(upstreams.stream().allMatch(it -> it.inFlight() >= 5 && it.inFlight() <= 7));
  }

  @Test
  public void slowUpstreamReceivesFewerRequests() {
    UpstreamLoad slow = upstream("a", "near");
    UpstreamLoad quick = upstream("b", "near");
    slow.recordDuration(400, 0);
    quick.recordDuration(100, 0);
    for (int i = 0; i < 10; i++) {
      choose(List.of(slow, quick)).recordStart(0);
    }
    assertEquals(slow.inFlight(), 2);
  }
}
