package org.ragworttide.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.ragworttide.coordination.time.ManualTimerService;

/** Fleet of admission components and one engine that counts its requests; for one thread. */
final class AdmissionFixture {
  static final UpstreamId ENGINE = new UpstreamId("engine");
  static final int COLD_LIMIT = 6;
  static final long REPORT_MILLIS = 1_000;

  final ManualTimerService time = new ManualTimerService();
  final FakeNetwork network;
  final SplittableRandom random;
  final List<ColdAdmission> fleet = new ArrayList<>();
  final Deque<Running> running = new ArrayDeque<>();
  long incarnation = 1;
  long firstTokenMillis = 200;
  int highestInFlight;
  private int owner;
  private long ownedUntilMillis;

  AdmissionFixture(int daemons, long seed) {
    random = new SplittableRandom(seed);
    time.advance(1_000_000);
    network = new FakeNetwork(time, seed);
    for (int i = 0; i < daemons; i++) {
      fleet.add(start(i, daemons));
    }
    time.every(REPORT_MILLIS, this::report);
  }

  static VmId vm(int index) {
    return new VmId("vm-" + (index + 100));
  }

  ColdAdmission start(int index, int daemons) {
    List<ColdAdmission> self = new ArrayList<>();
    Transport transport =
        network.connect(
            vm(index),
            (from, message) -> self.getFirst().receive(from, (AdmissionMessage) message));
    ColdAdmission admission =
        new ColdAdmission(
            vm(index),
            time,
            new FixtureOwnerView(index),
            transport,
            AdmissionSettings.DEFAULTS,
            random.nextLong());
    self.add(admission);
    admission.setColdLimits(Map.of(ENGINE, COLD_LIMIT));
    List<VmId> members = new ArrayList<>();
    for (int i = 0; i < daemons; i++) {
      members.add(vm(i));
    }
    admission.setMembers(members);
    return admission;
  }

  /** Gives the lease to a daemon; the lease of another daemon must have expired. */
  void own(int index, long millis) {
    if (index != owner && time.nowMillis() < ownedUntilMillis) {
      throw new IllegalStateException("two owners at once");
    }
    owner = index;
    ownedUntilMillis = time.nowMillis() + millis;
  }

  long ownedUntilMillis() {
    return ownedUntilMillis;
  }

  /** Tries to start a request from a daemon; the request ends after the given time. */
  boolean tryStart(int daemon, long runMillis) {
    ColdAdmission admission = fleet.get(daemon);
    if (!admission.tryEnter(ENGINE)) {
      return false;
    }
    Running request = new Running(admission);
    running.add(request);
    highestInFlight = Math.max(highestInFlight, running.size());
    if (firstTokenMillis < runMillis) {
      time.after(firstTokenMillis, () -> answer(request));
    }
    time.after(runMillis, () -> end(request));
    return true;
  }

  private void answer(Running request) {
    if (running.contains(request)) {
      request.admission.recordAnswer(ENGINE, firstTokenMillis);
    }
  }

  private void end(Running request) {
    if (running.remove(request)) {
      request.admission.leave(ENGINE);
    }
  }

  /** Fails all requests in flight, as when the engine crashes. */
  void crash() {
    for (Running request : List.copyOf(running)) {
      request.admission.recordFailure(ENGINE);
      end(request);
    }
  }

  private void report() {
    long measured = time.nowMillis();
    int load = running.size();
    long measuredIncarnation = incarnation;
    for (ColdAdmission admission : fleet) {
      time.after(
          random.nextLong(300),
          () -> admission.recordLoadReport(ENGINE, measuredIncarnation, measured, load));
    }
  }

  /** Request in flight, compared by identity. */
  static final class Running {
    final ColdAdmission admission;

    Running(ColdAdmission admission) {
      this.admission = admission;
    }
  }

  private final class FixtureOwnerView implements OwnerView {
    private final int self;

    private FixtureOwnerView(int self) {
      this.self = self;
    }

    @Override
    public Optional<VmId> ownerOf(String resource) {
      return time.nowMillis() < ownedUntilMillis ? Optional.of(vm(owner)) : Optional.empty();
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      boolean owns = self == owner && time.nowMillis() < ownedUntilMillis;
      return owns ? OptionalLong.of(ownedUntilMillis) : OptionalLong.empty();
    }
  }
}
