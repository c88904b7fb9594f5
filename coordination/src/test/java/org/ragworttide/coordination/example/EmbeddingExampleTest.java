package org.ragworttide.coordination.example;

import static org.testng.Assert.assertTrue;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;
import org.ragworttide.coordination.versions.VersionHost;
import org.testng.annotations.Test;

/** Tests the example of the embedding page: programs that embed the library share one rate. */
public class EmbeddingExampleTest {
  private static final int RATE_AND_BURST_OF_TEN_SECONDS = 240;

  @Test
  public void programsShareOneRate() {
    Fleet<EmbeddingExample> fleet = new Fleet<>(1, new Examples());
    fleet.publish("vm-1", "vm-2", "vm-3", "vm-4", "vm-5");
    fleet.run(20_000, 100, any -> {});
    int[] nextRequest = {0};
    fleet.run(
        10_000,
        10,
        any ->
            fleet.vms().forEach(vm -> fleet.stateMachine(vm).serve("request-" + nextRequest[0]++)));
    int served = fleet.vms().stream().mapToInt(vm -> fleet.stateMachine(vm).served()).sum();
    assertTrue(served > 0 && served <= RATE_AND_BURST_OF_TEN_SECONDS, "served " + served);
  }

  private static final class Examples implements Fleet.Factory<EmbeddingExample> {

    @Override
    public EmbeddingExample create(
        VmId vm, Incarnation incarnation, NodeTimers timers, Transport transport) {
      return new EmbeddingExample(vm, incarnation, timers, transport, new NoDocuments());
    }

    @Override
    public void adopt(EmbeddingExample example, VmList list) {
      example.adopt(list);
    }

    @Override
    public void deliver(EmbeddingExample example, VmId from, PeerMessage message) {
      example.coordinator().receive(from, message);
    }
  }

  /** Rejects every configuration document: the example applies its own policy. */
  private static final class NoDocuments implements VersionHost {

    @Override
    public boolean accepts(long version, byte[] document) {
      return false;
    }

    @Override
    public void putInForce(long version, byte[] document) {}

    @Override
    public void readPlatform() {}
  }
}
