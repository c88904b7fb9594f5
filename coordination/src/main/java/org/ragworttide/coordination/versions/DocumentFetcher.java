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
 * Gets an announced document that no delta leads to: by asking for a longer chain of deltas, by one
 * read of the platform, and meanwhile part by part from the peer.
 *
 * <p>Invariants: one document at a time; parts come no faster than {@link #CHUNK_PERIOD_MILLIS}.
 * Not safe for use by several threads.
 */
final class DocumentFetcher {
  static final int CHUNK_PERIOD_MILLIS = 500;
  static final int READ_SPREAD_MILLIS = 1_000;
  static final int PATIENCE_MILLIS = 3_000;

  private final TimerService time;
  private final Transport transport;
  private final VersionHost host;
  private final RandomGenerator random;
  private final VersionTally tally;
  private final BiConsumer<Long, byte[]> fetched;
  private ChunkFetch fetch;
  private long askedVersion;
  private VmId askedPeer;
  private long readVersion;

  DocumentFetcher(
      TimerService time,
      Transport transport,
      VersionHost host,
      RandomGenerator random,
      VersionTally tally,
      BiConsumer<Long, byte[]> fetched) {
    this.time = time;
    this.transport = transport;
    this.host = host;
    this.random = random;
    this.tally = tally;
    this.fetched = fetched;
    time.every(CHUNK_PERIOD_MILLIS, this::requestChunk);
  }

  /** Begins to get the announced document, unless another one is on its way. */
  void want(VmId from, Announce announce, long versionInForce) {
    boolean asked = askedVersion == announce.version() && from.equals(askedPeer);
    if (!asked && versionInForce > 0) {
      askedVersion = announce.version();
      askedPeer = from;
      transport.send(from, new Query(versionInForce));
      return;
    }
    if (fetch == null || isReplaceable(versionInForce)) {
      begin(from, announce);
    }
  }

  void receive(VmId from, Chunk chunk) {
    if (fetch == null
        || !fetch.add(from, chunk.version(), chunk.offset(), chunk.content(), time.nowMillis())) {
      return;
    }
    if (fetch.isComplete()) {
      ChunkFetch complete = fetch;
      fetch = null;
      complete
          .verified()
          .ifPresentOrElse(
              document -> fetched.accept(complete.version(), document), tally::rejected);
    }
  }

  private void begin(VmId from, Announce announce) {
    if (announce.lengthBytes() <= 0 || announce.lengthBytes() > ChunkFetch.MAX_DOCUMENT_BYTES) {
      tally.rejected();
      return;
    }
    fetch = new ChunkFetch(from, announce, time.nowMillis());
    if (readVersion != announce.version()) {
      readVersion = announce.version();
      tally.wholeRead();
      time.after(random.nextInt(READ_SPREAD_MILLIS), host::readPlatform);
    }
  }

  private boolean isReplaceable(long versionInForce) {
    return fetch.version() <= versionInForce || fetch.isStuck(time.nowMillis(), PATIENCE_MILLIS);
  }

  private void requestChunk() {
    if (fetch != null) {
      transport.send(fetch.source(), new ChunkRequest(fetch.version(), fetch.received()));
    }
  }
}
