package org.ragworttide.coordination.versions;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.message.VersionMessage.Announce;
import org.ragworttide.coordination.message.VersionMessage.Chunk;
import org.ragworttide.coordination.message.VersionMessage.ChunkRequest;
import org.ragworttide.coordination.message.VersionMessage.Query;
import org.ragworttide.coordination.time.TimerService;

/**
 * Propagates configuration versions from the few VMs that read the platform to every VM.
 *
 * <p>Invariants: the version in force never decreases; a document comes into force only if it has
 * the announced digest and the host accepts it. Called on the coordination thread only.
 */
public final class Versions implements VersionCommands, VersionQueries {
  static final int QUERY_PERIOD_MILLIS = 1_000;
  static final int START_QUERY_PERIOD_MILLIS = 500;
  static final int FANOUT = 3;
  static final int QUERIED_PER_ZONE = 2;
  static final int STALE_READER_MILLIS = 5_000;
  static final int COVER_MILLIS = 6_000;
  static final int COVER_PERIOD_MILLIS = 2_000;
  private static final byte[] NO_DOCUMENT = {};

  private final VmId self;
  private final TimerService time;
  private final Transport transport;
  private final MembershipQueries membership;
  private final VersionHost host;
  private final RandomGenerator random;
  private final ReaderOrder readers;
  private final Readiness readiness = new Readiness();
  private final DeltaChain chain = new DeltaChain();
  private final DocumentFetcher fetcher;
  private final VersionTally tally = new VersionTally();
  private long version;
  private byte[] document = NO_DOCUMENT;
  private DocumentDigest digest = DocumentDigest.of(NO_DOCUMENT);
  private long readVersion;
  private long coveringUntilMillis = Long.MIN_VALUE;
  private boolean platformUnavailable;

  /**
   * Creates the state of one VM, without any version.
   *
   * @param self this VM
   * @param time the timer service
   * @param transport sends to peers
   * @param membership this VM's view of the fleet
   * @param host callbacks of the embedder
   * @param random selects peers
   */
  public Versions(
      VmId self,
      TimerService time,
      Transport transport,
      MembershipQueries membership,
      VersionHost host,
      RandomGenerator random) {
    this.self = self;
    this.time = time;
    this.transport = transport;
    this.membership = membership;
    this.host = host;
    this.random = random;
    this.readers = new ReaderOrder(self, membership);
    this.fetcher = new DocumentFetcher(time, transport, host, random, tally, this::acceptFetched);
    time.every(QUERY_PERIOD_MILLIS, this::queryRandomPeer);
    time.every(COVER_PERIOD_MILLIS, this::requestCover);
  }

  @Override
  public void start() {
    Set<VmId> queried = new HashSet<>();
    peersByZone().forEach(zone -> queried.addAll(pick(zone, QUERIED_PER_ZONE)));
    readiness.start(queried, time.nowMillis());
    queryPendingPeers();
  }

  @Override
  public OfferOutcome offer(long offered, byte[] content) {
    platformUnavailable = false;
    readVersion = Math.max(readVersion, offered);
    if (offered < version) {
      tally.countStaleOffer();
      return new OfferOutcome.Stale(version);
    }
    if (offered == version) {
      boolean same = Arrays.equals(content, document);
      return same ? new OfferOutcome.Unchanged() : recordConflict();
    }
    return accept(offered, content.clone(), Optional.empty())
        ? new OfferOutcome.Accepted()
        : new OfferOutcome.Rejected();
  }

  @Override
  public void platformUnavailable() {
    platformUnavailable = true;
  }

  @Override
  public void receive(VmId from, VersionMessage message) {
    switch (message) {
      case Query query -> transport.send(from, announce(chain.since(query.knownVersion())));
      case Announce announce -> handleAnnounce(from, announce);
      case ChunkRequest request -> handleChunkRequest(from, request);
      case Chunk chunk -> fetcher.receive(from, chunk);
      case VersionMessage.Cover cover -> coveringUntilMillis = time.nowMillis() + COVER_MILLIS;
    }
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public byte[] document() {
    return document;
  }

  @Override
  public boolean isReader() {
    return readers.isReader() || time.nowMillis() < coveringUntilMillis;
  }

  @Override
  public boolean isReady() {
    return readiness.isReady(version, time.nowMillis());
  }

  @Override
  public VersionCounters counters() {
    return tally.counters();
  }

  private void handleAnnounce(VmId from, Announce announce) {
    readiness.recordAnswer(from, announce.version(), version, time.nowMillis());
    if (announce.version() < version) {
      transport.send(from, announce(chain.since(announce.version())));
    } else if (announce.version() == version) {
      if (version > 0 && !announce.digest().equals(digest)) {
        recordConflict();
      }
    } else if (!applyDeltas(announce)) {
      fetcher.fetchAnnounced(from, announce, version);
    }
  }

  /**
   * Applies the announced deltas to the document in force and returns whether they lead to the
   * announced version.
   */
  private boolean applyDeltas(Announce announce) {
    for (DocumentDelta delta : announce.deltas()) {
      if (delta.baseVersion() == version && version > 0) {
        Optional<byte[]> result = delta.applyTo(document);
        if (result.isEmpty() || !accept(delta.version(), result.get(), Optional.of(delta))) {
          tally.countRejected();
          return false;
        }
      }
    }
    return version >= announce.version();
  }

  private void acceptFetched(long fetchedVersion, byte[] content) {
    if (fetchedVersion > version) {
      accept(fetchedVersion, content, Optional.empty());
    }
  }

  private boolean accept(long newVersion, byte[] content, Optional<DocumentDelta> delta) {
    if (content.length > ChunkFetch.MAX_DOCUMENT_BYTES || !host.accepts(newVersion, content)) {
      tally.countRejected();
      return false;
    }
    if (version > 0) {
      chain.add(
          delta.orElseGet(() -> DeltaEncoder.between(version, document, newVersion, content)));
    }
    version = newVersion;
    document = content;
    digest = DocumentDigest.of(content);
    tally.countAccepted();
    host.putInForce(newVersion, content);
    pick(peers(), FANOUT).forEach(peer -> transport.send(peer, announce(chain.last())));
    return true;
  }

  private OfferOutcome recordConflict() {
    tally.countConflict();
    return new OfferOutcome.Conflict();
  }

  private Announce announce(List<DocumentDelta> deltas) {
    return new Announce(version, digest, document.length, deltas);
  }

  private void handleChunkRequest(VmId from, ChunkRequest request) {
    boolean isInRange = request.offset() >= 0 && request.offset() < document.length;
    if (request.version() == version && isInRange) {
      int end = Math.min(document.length, request.offset() + ChunkFetch.CHUNK_BYTES);
      byte[] content = Arrays.copyOfRange(document, request.offset(), end);
      transport.send(from, new Chunk(version, request.offset(), content));
    }
  }

  private void queryRandomPeer() {
    pick(peers(), 1).forEach(peer -> transport.send(peer, new Query(version)));
  }

  private void queryPendingPeers() {
    if (!isReady()) {
      readiness.pendingPeers().forEach(peer -> transport.send(peer, new Query(version)));
      time.after(START_QUERY_PERIOD_MILLIS, this::queryPendingPeers);
    }
  }

  private void requestCover() {
    if (!readers.isReader()) {
      return;
    }
    long expectedVersion = version;
    time.after(
        STALE_READER_MILLIS,
        () -> {
          if (platformUnavailable || readVersion < expectedVersion) {
            readers.standby().ifPresent(vm -> transport.send(vm, new VersionMessage.Cover()));
          }
        });
  }

  private List<VmId> peers() {
    return membership.list().map(VmList::vms).orElse(List.of()).stream()
        .map(VmEntry::id)
        .filter(vm -> !vm.equals(self) && !membership.isSuspected(vm))
        .toList();
  }

  private Collection<List<VmId>> peersByZone() {
    List<VmEntry> vms = membership.list().map(VmList::vms).orElse(List.of());
    return vms.stream()
        .map(VmEntry::zone)
        .distinct()
        .map(
            zone ->
                vms.stream()
                    .filter(vm -> vm.zone().equals(zone) && !vm.id().equals(self))
                    .map(VmEntry::id)
                    .toList())
        .toList();
  }

  private Set<VmId> pick(List<VmId> from, int count) {
    Set<VmId> picked = new LinkedHashSet<>();
    for (int i = 0; i < count && !from.isEmpty(); i++) {
      picked.add(from.get(random.nextInt(from.size())));
    }
    return picked;
  }
}
