package org.ragworttide.daemon.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts what passes between daemons, in both directions.
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

  void sent(int bytes) {
    sentBytes.inc(bytes);
    sentFrames.inc();
  }

  void received(int bytes) {
    receivedBytes.inc(bytes);
    receivedFrames.inc();
  }
}
