package org.ragworttide.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.ragworttide.coordination.admission.AdmissionSettings;
import org.ragworttide.coordination.admission.ColdAdmission;
import org.ragworttide.coordination.admission.OwnerView;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.protocol.AdmissionCodec;

/**
 * Measures a simultaneous restart of all daemons and engines under full load.
 *
 * <p>Invariant: the same arguments give the same counts. Confined to one thread.
 */
final class ColdStartBench {
  private static final int FRAME_BYTES = 6;
  private static final long NETWORK_DELAY_MILLIS = 2;
  private static final long RETRY_MILLIS = 250;
  private static final long CLIENT_TIMEOUT_MILLIS = 20_000;
  private static final long FIRST_TOKEN_MILLIS = 700;

  final Histogram waitMillis = new Histogram(3_600_000, 3);
  final long[] sentBytes;
  final long[] maxBytesPerSecond;
  int maxColdInFlight;
  long timedOut;
  long started;
  private final FleetSize size;
  private final ManualTimerService time = new ManualTimerService();
  private final SplittableRandom random;
  private final List<ColdAdmission> fleet = new ArrayList<>();
  private final Map<VmId, Integer> indexByVm = new HashMap<>();
  private final List<Deque<Waiting>> waiting = new ArrayList<>();
  private final RouterStrategy routers;
  private final int[] inFlight;
  private final int[] coldInFlight;
  private final VmId[] owners;
  private final long[] secondStartBytes;

  ColdStartBench(FleetSize size, long seed) {
    this.size = size;
    this.random = new SplittableRandom(seed);
    this.inFlight = new int[size.engines()];
    this.coldInFlight = new int[size.engines()];
    this.sentBytes = new long[size.daemons()];
    this.secondStartBytes = new long[size.daemons()];
    this.maxBytesPerSecond = new long[size.daemons()];
    this.owners = new VmId[size.engines()];
    List<VmId> vms = new ArrayList<>();
    for (int i = 0; i < size.daemons(); i++) {
      vms.add(new VmId("vm-" + (1_000 + i)));
      indexByVm.put(vms.get(i), i);
      waiting.add(new ArrayDeque<>());
    }
    Map<UpstreamId, Integer> limits = new HashMap<>();
    for (int i = 0; i < size.engines(); i++) {
      String resource = ColdAdmission.resource(RouterStrategy.id(i));
      owners[i] = Rendezvous.order(resource, vms, VmId::value).getFirst();
      limits.put(RouterStrategy.id(i), RouterStrategy.COLD_LIMIT);
    }
    for (int i = 0; i < size.daemons(); i++) {
      fleet.add(admission(i, vms, limits));
    }
    this.routers = RouterStrategy.gated(size, time, fleet::get);
  }

  private ColdAdmission admission(int daemon, List<VmId> vms, Map<UpstreamId, Integer> limits) {
    ColdAdmission admission =
        new ColdAdmission(
            vms.get(daemon),
            time,
            new FixedOwners(vms.get(daemon)),
            (to, message) -> send(daemon, vms.get(daemon), to, message),
            AdmissionSettings.DEFAULTS,
            random.nextLong());
    admission.setColdLimits(limits);
    admission.setMembers(vms);
    return admission;
  }

  ColdStartBench run() {
    for (int engine = 0; engine < size.engines(); engine++) {
      int index = engine;
      time.after(random.nextLong(1_000), () -> time.every(1_000, () -> report(index)));
    }
    time.every(RETRY_MILLIS, this::retry);
    time.every(1_000, this::recordSecond);
    new Arrivals(time, random, size.requestsPerSecond(), this::arrive).start();
    time.advance(size.seconds() * 1_000L);
    return this;
  }

  /** Returns the share of (daemon, engine) pairs in which the daemon records the engine as warm. */
  double warmShare() {
    long warm = 0;
    for (ColdAdmission admission : fleet) {
      for (int i = 0; i < size.engines(); i++) {
        warm += admission.view().isWarm(RouterStrategy.id(i)) ? 1 : 0;
      }
    }
    return (double) warm / size.daemons() / size.engines();
  }

  private void arrive() {
    int daemon = random.nextInt(size.daemons());
    Waiting request = new Waiting(random.nextInt(1_000_000), time.nowMillis());
    if (!start(daemon, request)) {
      waiting.get(daemon).add(request);
    }
  }

  private void retry() {
    long now = time.nowMillis();
    for (int daemon = 0; daemon < size.daemons(); daemon++) {
      Deque<Waiting> queue = waiting.get(daemon);
      while (!queue.isEmpty() && now - queue.peek().atMillis > CLIENT_TIMEOUT_MILLIS) {
        queue.poll();
        timedOut++;
      }
      while (!queue.isEmpty() && start(daemon, queue.peek())) {
        queue.poll();
      }
    }
  }

  private boolean start(int daemon, Waiting request) {
    Strategy.Choice choice = routers.choose(daemon, request.chat);
    if (choice == null) {
      return false;
    }
    int engine = choice.engine();
    UpstreamId id = RouterStrategy.id(engine);
    final boolean asCold = !fleet.get(daemon).view().isWarm(id);
    started++;
    waitMillis.recordValue(time.nowMillis() - request.atMillis);
    inFlight[engine]++;
    coldInFlight[engine] += asCold ? 1 : 0;
    maxColdInFlight = Math.max(maxColdInFlight, asCold ? coldInFlight[engine] : 0);
    time.after(FIRST_TOKEN_MILLIS, () -> fleet.get(daemon).recordAnswer(id, FIRST_TOKEN_MILLIS));
    time.after(
        (long) size.answerMillis(),
        () -> {
          inFlight[engine]--;
          coldInFlight[engine] -= asCold ? 1 : 0;
          choice.release().run();
        });
    return true;
  }

  private void report(int engine) {
    long measured = time.nowMillis();
    int running = inFlight[engine];
    time.after(
        random.nextLong(1_000),
        () -> {
          routers.recordLoad(engine, 1, measured, running);
          fleet.forEach(a -> a.recordLoadReport(RouterStrategy.id(engine), 1, measured, running));
        });
  }

  private void send(int sender, VmId from, VmId to, PeerMessage message) {
    AdmissionMessage admission = (AdmissionMessage) message;
    sentBytes[sender] += AdmissionCodec.encode(admission).getSerializedSize() + FRAME_BYTES;
    time.after(NETWORK_DELAY_MILLIS, () -> fleet.get(indexByVm.get(to)).receive(from, admission));
  }

  private void recordSecond() {
    for (int i = 0; i < sentBytes.length; i++) {
      maxBytesPerSecond[i] = Math.max(maxBytesPerSecond[i], sentBytes[i] - secondStartBytes[i]);
      secondStartBytes[i] = sentBytes[i];
    }
  }

  private record Waiting(int chat, long atMillis) {}

  private final class FixedOwners implements OwnerView {
    private final VmId self;

    private FixedOwners(VmId self) {
      this.self = self;
    }

    @Override
    public Optional<VmId> ownerOf(String resource) {
      return Optional.of(owners[Integer.parseInt(resource.substring("cold/engine-".length()))]);
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      boolean owns = ownerOf(resource).orElseThrow().equals(self);
      return owns ? OptionalLong.of(time.nowMillis() + 10_000) : OptionalLong.empty();
    }
  }
}
