package org.ragworttide.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters of the frames and bytes that the daemon sends to and receives from its peers.
 *
 * <p>Safe for use by any thread.
 */
public final class PeerTraffic {
  final Counter sentBytes;
  final Counter receivedBytes;
  final Counter sentFrames;
  final Counter receivedFrames;
  final Counter droppedFrames;
  final Counter refusedFrames;

  /** Registers the counters. */
  public PeerTraffic(MetricRegistry metrics) {
    this.sentBytes = metrics.counter("control.sent.bytes");
    this.receivedBytes = metrics.counter("control.received.bytes");
    this.sentFrames = metrics.counter("control.sent.frames");
    this.receivedFrames = metrics.counter("control.received.frames");
    this.droppedFrames = metrics.counter("control.dropped.frames");
    this.refusedFrames = metrics.counter("control.refused.frames");
  }

  void recordSent(int bytes) {
    sentBytes.inc(bytes);
    sentFrames.inc();
  }

  void recordReceived(int bytes) {
    receivedBytes.inc(bytes);
    receivedFrames.inc();
  }
}
