package org.ragworttide.coordination.versions;

import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.message.VersionMessage.Announce;
import org.ragworttide.coordination.message.VersionMessage.Chunk;
import org.ragworttide.coordination.message.VersionMessage.ChunkRequest;
import org.ragworttide.coordination.message.VersionMessage.Query;
import org.ragworttide.coordination.time.TimerService;

/**
 * Fetches an announced document that the announced deltas do not reach: it queries the peer for a
 * longer chain of deltas; failing that, it reads the platform once and meanwhile requests the
 * document in chunks from the peer.
 *
 * <p>Invariants: one document is fetched at a time; at most one chunk is requested every {@link
 * #CHUNK_PERIOD_MILLIS}. Not safe for use by several threads.
 */
final class DocumentFetcher {
  static final int CHUNK_PERIOD_MILLIS = 500;
  static final int MAX_READ_DELAY_MILLIS = 1_000;
  static final int STALL_TIMEOUT_MILLIS = 3_000;

  private final TimerService time;
  private final Transport transport;
  private final VersionHost host;
  private final RandomGenerator random;
  private final VersionTally tally;
  private final BiConsumer<Long, byte[]> onFetched;
  private ChunkFetch fetch;
  private long queriedVersion;
  private VmId queriedPeer;
  private long readVersion;

  DocumentFetcher(
      TimerService time,
      Transport transport,
      VersionHost host,
      RandomGenerator random,
      VersionTally tally,
      BiConsumer<Long, byte[]> onFetched) {
    this.time = time;
    this.transport = transport;
    this.host = host;
    this.random = random;
    this.tally = tally;
    this.onFetched = onFetched;
    time.every(CHUNK_PERIOD_MILLIS, this::requestChunk);
  }

  /** Starts to fetch the announced document, unless another fetch is in progress. */
  void fetchAnnounced(VmId from, Announce announce, long versionInForce) {
    boolean queried = queriedVersion == announce.version() && from.equals(queriedPeer);
    if (!queried && versionInForce > 0) {
      queriedVersion = announce.version();
      queriedPeer = from;
      transport.send(from, new Query(versionInForce));
      return;
    }
    if (fetch == null || isReplaceable(versionInForce)) {
      startFetch(from, announce);
    }
  }

  void receive(VmId from, Chunk chunk) {
    if (fetch == null
        || !fetch.addChunk(
            from, chunk.version(), chunk.offset(), chunk.content(), time.nowMillis())) {
      return;
    }
    if (fetch.isComplete()) {
      ChunkFetch complete = fetch;
      fetch = null;
      complete
          .verified()
          .ifPresentOrElse(
              document -> onFetched.accept(complete.version(), document), tally::countRejected);
    }
  }

  private void startFetch(VmId from, Announce announce) {
    if (announce.lengthBytes() <= 0 || announce.lengthBytes() > ChunkFetch.MAX_DOCUMENT_BYTES) {
      tally.countRejected();
      return;
    }
    fetch = new ChunkFetch(from, announce, time.nowMillis());
    if (readVersion != announce.version()) {
      readVersion = announce.version();
      tally.countWholeRead();
      time.after(random.nextInt(MAX_READ_DELAY_MILLIS), host::readPlatform);
    }
  }

  private boolean isReplaceable(long versionInForce) {
    return fetch.version() <= versionInForce
        || fetch.isStalled(time.nowMillis(), STALL_TIMEOUT_MILLIS);
  }

  private void requestChunk() {
    if (fetch != null) {
      transport.send(fetch.source(), new ChunkRequest(fetch.version(), fetch.receivedBytes()));
    }
  }
}
