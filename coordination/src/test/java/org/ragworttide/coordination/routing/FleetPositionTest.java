package org.ragworttide.coordination.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.coordination.hash.Rendezvous;
import org.testng.annotations.Test;

/** Tests the rounding offsets and the scale that follow from the position of a daemon. */
public class FleetPositionTest {

  @Test
  public void roundedBoundsOfAllDaemonsSumToTheFractionalBound() {
    int daemons = 350;
    for (double bound : new double[] {0.14, 0.4, 1, 1.7}) {
      for (int engine = 0; engine < 100; engine++) {
        long hash = Rendezvous.hash("engine-" + engine);
        double sum = 0;
        for (int rank = 0; rank < daemons; rank++) {
          sum += Math.floor(bound + new FleetPosition(daemons, rank).roundingOffset(hash));
        }
        assertEquals(sum, daemons * bound, 1, "bound " + bound + " engine " + engine);
      }
    }
  }

  @Test
  public void scaleGrowsWithTheNumberOfOwnUnreportedStarts() {
    FleetPosition alone = new FleetPosition(1, 0);
    FleetPosition large = new FleetPosition(350, 0);
    assertEquals(alone.scale(5), 1.0);
    assertTrue(large.scale(0.01) < 5);
    assertTrue(large.scale(100) > 300);
  }
}
