package org.ragworttide.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.ragworttide.daemon.upstream.UpstreamEvent;

/**
 * Collects an answer that is not a stream.
 *
 * <p>Invariant: never holds more than its limit and one chunk. Signals come one at a time.
 */
final class WholeBody {
  private final int maxBytes;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private UpstreamEvent.Failure failure;

  WholeBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Takes an event and returns whether more may come. */
  boolean accept(UpstreamEvent event) {
    switch (event) {
      case UpstreamEvent.Head head -> {}
      case UpstreamEvent.Chunk chunk -> bytes.writeBytes(chunk.bytes());
      case UpstreamEvent.Failure lost -> failure = lost;
    }
    return failure == null && !oversized();
  }

  boolean oversized() {
    return bytes.size() > maxBytes;
  }

  Optional<UpstreamEvent.Failure> failure() {
    return Optional.ofNullable(failure);
  }

  byte[] bytes() {
    return bytes.toByteArray();
  }
}
