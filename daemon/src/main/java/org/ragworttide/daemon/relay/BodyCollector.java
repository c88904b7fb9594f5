package org.ragworttide.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.ragworttide.daemon.upstream.UpstreamEvent;

/**
 * Collects the body of an answer that is not a stream.
 *
 * <p>Invariant: the collector never holds more than its limit plus one chunk. Signals must arrive
 * one at a time.
 */
final class BodyCollector {
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private UpstreamEvent.Failure failure;

  BodyCollector(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds an event and returns whether the collector accepts more. */
  boolean accept(UpstreamEvent event) {
    switch (event) {
      case UpstreamEvent.Head head -> {}
      case UpstreamEvent.Chunk chunk -> bytes.writeBytes(chunk.bytes());
      case UpstreamEvent.Failure lost -> failure = lost;
    }
    return failure == null && !isOversized();
  }

  boolean isOversized() {
    return bytes.size() > maxBytes;
  }

  Optional<UpstreamEvent.Failure> failure() {
    return Optional.ofNullable(failure);
  }

  byte[] bytes() {
    return bytes.toByteArray();
  }
}
