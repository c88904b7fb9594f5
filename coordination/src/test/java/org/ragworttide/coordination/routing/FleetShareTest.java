package org.ragworttide.coordination.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.ragworttide.coordination.hash.Rendezvous;
import org.testng.annotations.Test;

/** Tests what a daemon concludes from its place among the others. */
public class FleetShareTest {

  @Test
  public void roundedBoundsOfAllDaemonsSumToTheFractionalBound() {
    int daemons = 350;
    for (double bound : new double[] {0.14, 0.4, 1, 1.7}) {
      for (int engine = 0; engine < 100; engine++) {
        long hash = Rendezvous.hash("engine-" + engine);
        double sum = 0;
        for (int rank = 0; rank < daemons; rank++) {
          sum += Math.floor(bound + new FleetShare(daemons, rank).roundingOffset(hash));
        }
        assertEquals(sum, daemons * bound, 1, "bound " + bound + " engine " + engine);
      }
    }
  }

  @Test
  public void ownStartStandsForMoreOfTheFleetTheMoreOneSees() {
    FleetShare alone = new FleetShare(1, 0);
    FleetShare large = new FleetShare(350, 0);
    assertEquals(alone.scale(5), 1.0);
    assertTrue(large.scale(0.01) < 5);
    assertTrue(large.scale(100) > 300);
  }
}
