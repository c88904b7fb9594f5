package org.ragworttide.coordination.zones;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests through which VM an upstream is reached. */
public class TunnelPeersTest {
  private static final int OWN_ZONE = 1;
  private static final int FAR_ZONE = 2;
  private static final int THIRD_ZONE = 3;
  private static final long NEAR_VM = 10;
  private static final long FAR_VM = 20;
  private static final long THIRD_VM = 30;

  private TunnelPeers peers;

  /** Creates a choice that knows no VM. */
  @BeforeMethod
  public void create() {
    peers = new TunnelPeers(OWN_ZONE);
  }

  private Optional<Long> choose(long nowMillis) {
    return peers.choose(FAR_ZONE, 7, nowMillis);
  }

  @Test
  public void nobodyIsChosenWhereNoVmHasStatedAnything() {
    assertEquals(choose(0), Optional.empty());
    assertFalse(peers.reaches(FAR_ZONE, 0));
  }

  @Test
  public void vmThatReachesTheZoneIsChosen() {
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(FAR_ZONE), 0);
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(OWN_ZONE), 0);
    assertEquals(choose(0), Optional.of(FAR_VM));
  }

  /** Guards against VMs that ask each other in vain where the upstreams are down. */
  @Test
  public void nobodyIsChosenWhereAllStateThatTheyDoNotReachTheZone() {
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(FAR_ZONE), 0);
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(FAR_ZONE), 0);
    assertEquals(choose(0), Optional.empty());
  }

  @Test
  public void newestStatementCounts() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(FAR_ZONE), 0);
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 100);
    assertEquals(choose(100), Optional.of(FAR_VM));
  }

  @Test
  public void statementOfVmThatHasFallenSilentDoesNotCount() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    assertTrue(peers.reaches(FAR_ZONE, TunnelPeers.STATEMENT_LIFETIME_MILLIS - 1));
    assertEquals(choose(TunnelPeers.STATEMENT_LIFETIME_MILLIS), Optional.empty());
  }

  @Test
  public void vmThatOpenedNoTunnelIsNotAskedAgainAtOnce() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.recordFailure(FAR_VM, 0, 0);
    assertEquals(choose(TunnelPeers.FAILURE_PAUSE_MILLIS - 1), Optional.empty());
    assertEquals(choose(TunnelPeers.FAILURE_PAUSE_MILLIS), Optional.of(FAR_VM));
  }

  /** Guards against the loss of the only VM that helps because one upstream does not answer it. */
  @Test
  public void vmThatOpensOtherTunnelsIsAskedAgainAtOnce() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    for (int asked = 0; asked < 600; asked += 50) {
      peers.recordOpened(FAR_VM, asked + 5);
    }
    peers.recordFailure(FAR_VM, 0, 600);
    assertEquals(choose(600), Optional.of(FAR_VM));
  }

  @Test
  public void vmThatOpensTunnelsAgainIsAskedAgainAtOnce() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.recordFailure(FAR_VM, 0, 600);
    peers.recordOpened(FAR_VM, 610);
    assertEquals(choose(610), Optional.of(FAR_VM));
  }

  @Test
  public void vmThatOpenedTunnelsOnlyBeforeIsNotAskedAgainAtOnce() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.recordOpened(FAR_VM, 10);
    peers.recordFailure(FAR_VM, 10, 610);
    assertEquals(choose(610), Optional.empty());
  }

  @Test
  public void wayWithFewerCrossingsIsPreferred() {
    peers.recordStatement(THIRD_VM, THIRD_ZONE, List.of(), 0);
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(), 0);
    assertEquals(choose(0), Optional.of(NEAR_VM));
  }

  @Test
  public void tunnelsAreSharedByTheVmsThatReachTheZone() {
    peers.recordStatement(THIRD_VM, THIRD_ZONE, List.of(), 0);
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(), 0);
    Map<Long, Integer> tunnels = new HashMap<>();
    for (int request = 0; request < 300; request++) {
      long chosen = peers.choose(FAR_ZONE, request, 0).orElseThrow();
      peers.recordOpening(chosen);
      tunnels.merge(chosen, 1, Integer::sum);
    }
    assertEquals(tunnels.size(), 3);
    tunnels.values().forEach(count -> assertEquals(count, 100, 5, "tunnels of a VM"));
  }

  @Test
  public void closedTunnelsDoNotCount() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(), 0);
    long first = choose(0).orElseThrow();
    peers.recordOpening(first);
    assertFalse(choose(0).orElseThrow() == first);
    peers.recordClosed(first);
    assertEquals(choose(0), Optional.of(first));
  }

  @Test
  public void silentVmsAreForgotten() {
    peers.recordStatement(FAR_VM, FAR_ZONE, List.of(), 0);
    peers.expire(TunnelPeers.STATEMENT_LIFETIME_MILLIS);
    peers.recordStatement(NEAR_VM, OWN_ZONE, List.of(), 0);
    assertEquals(choose(0), Optional.of(NEAR_VM));
  }
}
