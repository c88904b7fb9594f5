package org.ragworttide.gateway.upstream;

import org.ragworttide.coordination.id.UpstreamId;

/**
 * Receives what an upstream sends that belongs to no request, or to another one than is awaited.
 * Called on the event loop.
 */
public interface ForeignBytesListener {

  /**
   * Called when a response is skipped because it has another request's id.
   *
   * @param responseId the id that the response has, empty if none
   * @param awaitedId the id of the request in flight
   */
  void responseSkipped(UpstreamId upstream, String responseId, String awaitedId);

  /** Called when a connection is closed because bytes without a request have been received. */
  void connectionDiscarded(UpstreamId upstream, String reason);
}
