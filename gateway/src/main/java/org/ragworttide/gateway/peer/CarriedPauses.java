package org.ragworttide.gateway.peer;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.placement.StatedAvailability;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.view.FleetView;

/**
 * Tells VMs that upstreams have asked for a pause in responses that these VMs have only carried.
 *
 * <p>An upstream means the VM that has connected to it; that VM does not read what it carries.
 *
 * <p>Invariant: a pause that another VM tells is bounded like one that an upstream states, and only
 * of an upstream that this VM knows. Lost, late or duplicate datagrams are harmless apart from
 * requests within the pause. Confined to the event loop.
 */
public final class CarriedPauses {
  /** Milliseconds after which a pause is told once more, since a datagram may be lost. */
  private static final long REPEAT_MILLIS = 100;

  private final FleetView view;
  private final TimerService time;
  private BiConsumer<byte[], InetSocketAddress> sender = (bytes, to) -> {};

  /**
   * Creates an exchange that reaches no other VM yet.
   *
   * @param view the VM's view of the fleet
   * @param time the clock and timers of the event loop
   */
  public CarriedPauses(FleetView view, TimerService time) {
    this.view = view;
    this.time = time;
  }

  /** Starts the exchange with other VMs, to which the function sends datagrams. */
  void start(BiConsumer<byte[], InetSocketAddress> datagrams) {
    sender = datagrams;
  }

  /**
   * Tells a VM that an upstream wants no requests of it for some time.
   *
   * @param vm the address on which the VM receives datagrams of others
   * @param upstream the key of the upstream's incarnation
   * @param pauseMillis milliseconds of the pause, positive
   */
  public void tell(InetSocketAddress vm, int upstream, long pauseMillis) {
    int boundedMillis = (int) Math.min(pauseMillis, StatedAvailability.MAX_PAUSE_MILLIS);
    long endMillis = time.nowMillis() + boundedMillis;
    sender.accept(new PauseMessage(upstream, boundedMillis).encode(), vm);
    time.after(
        REPEAT_MILLIS,
        () -> {
          int remainingMillis = (int) (endMillis - time.nowMillis());
          if (remainingMillis > 0) {
            sender.accept(new PauseMessage(upstream, remainingMillis).encode(), vm);
          }
        });
  }

  /** Handles a message of a known VM. */
  void receive(PauseMessage message) {
    view.recordPeerPause(message.upstream(), message.remainingMillis(), time.nowMillis());
  }
}
