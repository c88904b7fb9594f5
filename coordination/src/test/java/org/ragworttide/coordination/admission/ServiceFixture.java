package org.ragworttide.coordination.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.FakeNetwork;
import org.ragworttide.coordination.net.VmClock;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Fleet of admission components, each with its own clock, and one plain service that publishes no
 * load; for one thread.
 */
final class ServiceFixture {
  static final UpstreamId SERVICE = new UpstreamId("bookings");
  static final int DAEMONS = 4;
  static final int COLD_LIMIT = 16;
  static final long LONGEST_RUN_MILLIS = 5_000;
  static final UpstreamWithoutLoadReports UNREPORTED =
      UpstreamWithoutLoadReports.of(COLD_LIMIT, DAEMONS, LONGEST_RUN_MILLIS);

  /**
   * Requests that may run before any answer has begun: the first level of permits and all shares.
   */
  static final int MAX_IN_FLIGHT_UNPROVEN = (COLD_LIMIT - UNREPORTED.reserved() + 3) / 4 + 4;

  final ManualTimerService time = new ManualTimerService();
  final SplittableRandom random;
  final FakeNetwork network;
  final List<ColdAdmission> fleet = new ArrayList<>();
  final List<VmClock> clocks = new ArrayList<>();
  final List<Running> running = new ArrayList<>();
  boolean down;
  boolean answering = true;
  long firstByteMillis = 20;
  int highestInFlight;
  private int owner;
  private long ownedUntilMillis;

  ServiceFixture(long seed) {
    random = new SplittableRandom(seed);
    network = new FakeNetwork(time, seed);
    time.advance(1_000_000);
    for (int i = 0; i < DAEMONS; i++) {
      fleet.add(null);
      clocks.add(null);
      startDaemon(i);
    }
  }

  static VmId vm(int index) {
    return new VmId("vm-" + (index + 100));
  }

  /** Starts or restarts a daemon; a restart closes the connections of the earlier run. */
  void startDaemon(int index) {
    if (clocks.get(index) != null) {
      clocks.get(index).stop();
      running.removeIf(request -> request.daemon == index);
    }
    VmClock clock = new VmClock(time, random.nextLong(-5_000, 5_000), random.nextLong(1_000_000));
    clocks.set(index, clock);
    List<ColdAdmission> self = new ArrayList<>();
    Transport transport =
        network.connect(
            vm(index),
            clock.deferWhilePaused(
                (from, m) -> self.getFirst().receive(from, (AdmissionMessage) m)));
    self.add(
        new ColdAdmission(
            vm(index),
            clock,
            new FixtureOwnerView(index, clock),
            transport,
            AdmissionSettings.DEFAULTS,
            random.nextLong()));
    fleet.set(index, self.getFirst());
    self.getFirst().setColdLimits(Map.of(SERVICE, COLD_LIMIT), Map.of(SERVICE, UNREPORTED));
    List<VmId> vms = List.of(vm(0), vm(1), vm(2), vm(3));
    self.getFirst().setMembers(vms);
    self.getFirst().setListedVms(vms);
  }

  /** Gives the lease to a daemon; the lease of another daemon must have expired. */
  void own(int index, long millis) {
    if (index != owner && time.nowMillis() < ownedUntilMillis) {
      throw new IllegalStateException("two owners at once");
    }
    owner = index;
    ownedUntilMillis = time.nowMillis() + millis;
  }

  boolean isOwned() {
    return time.nowMillis() < ownedUntilMillis;
  }

  /** Tries to send a request from a daemon, unless it is paused; returns whether it was sent. */
  boolean tryStart(int daemon, long runMillis) {
    ColdAdmission admission = fleet.get(daemon);
    if (!clocks.get(daemon).isRunning() || !admission.tryEnter(SERVICE)) {
      return false;
    }
    if (down) {
      admission.recordFailure(SERVICE);
      admission.leave(SERVICE);
      return true;
    }
    Running request = new Running(daemon, admission);
    running.add(request);
    highestInFlight = Math.max(highestInFlight, running.size());
    if (answering && firstByteMillis < runMillis) {
      time.after(firstByteMillis, () -> answer(request));
    }
    time.after(runMillis, () -> end(request));
    return true;
  }

  private void answer(Running request) {
    if (running.contains(request)) {
      runOnDaemon(request, () -> request.admission.recordAnswer(SERVICE, firstByteMillis));
    }
  }

  private void end(Running request) {
    if (running.remove(request)) {
      runOnDaemon(request, () -> request.admission.leave(SERVICE));
    }
  }

  /** Stops the service: running requests fail, and no request connects until it is started. */
  void stopService() {
    down = true;
    for (Running request : List.copyOf(running)) {
      running.remove(request);
      runOnDaemon(request, () -> request.admission.recordFailure(SERVICE));
      runOnDaemon(request, () -> request.admission.leave(SERVICE));
    }
  }

  void startService() {
    down = false;
    highestInFlight = 0;
  }

  /** Sends requests from random daemons for a time and renews the lease each second. */
  void run(long millis, int leaseHolder) {
    for (long t = 0; t < millis; t += 10) {
      if (t % 1_000 == 0) {
        own(leaseHolder, 3_000);
      }
      tryStart(random.nextInt(DAEMONS), 100 + random.nextLong(LONGEST_RUN_MILLIS - 200));
      time.advance(10);
    }
  }

  /** Sends requests from random daemons until the lease has expired. */
  void letLeaseExpire() {
    while (isOwned()) {
      tryStart(random.nextInt(DAEMONS), 100 + random.nextLong(LONGEST_RUN_MILLIS - 200));
      time.advance(10);
    }
  }

  boolean allWarm() {
    return fleet.stream().allMatch(admission -> admission.view().isWarm(SERVICE));
  }

  private void runOnDaemon(Running request, Runnable task) {
    clocks.get(request.daemon).deferWhilePaused((from, message) -> task.run()).accept(null, null);
  }

  /** Request in flight, compared by identity. */
  static final class Running {
    final int daemon;
    final ColdAdmission admission;

    Running(int daemon, ColdAdmission admission) {
      this.daemon = daemon;
      this.admission = admission;
    }
  }

  private final class FixtureOwnerView implements OwnerView {
    private final int self;
    private final VmClock clock;

    private FixtureOwnerView(int self, VmClock clock) {
      this.self = self;
      this.clock = clock;
    }

    @Override
    public Optional<VmId> ownerOf(String resource) {
      return isOwned() ? Optional.of(vm(owner)) : Optional.empty();
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      return self == owner && isOwned()
          ? OptionalLong.of(clock.localAt(ownedUntilMillis))
          : OptionalLong.empty();
    }
  }
}
