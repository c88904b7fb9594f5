package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Event of one attempt on an upstream. An attempt emits, in order, a head, chunks and at most one
 * failure.
 *
 * <p>Invariant: a sequence without a failure is a complete answer. Immutable, safe for use by any
 * thread.
 */
public sealed interface UpstreamEvent {

  /**
   * The head of the answer.
   *
   * @param status the HTTP status
   * @param headers the answer's headers as received
   */
  record Head(int status, HttpHeaders headers) implements UpstreamEvent {}

  /**
   * A part of the answer's body.
   *
   * @param bytes the bytes of the part
   */
  record Chunk(byte[] bytes) implements UpstreamEvent {}

  /** The attempt ended without a complete answer. */
  sealed interface Failure extends UpstreamEvent {}

  /**
   * No byte of the request can have reached the upstream: no connection was established, or the
   * gate did not permit sending.
   *
   * @param reason the cause, for the log
   */
  record NotSent(String reason) implements Failure {}

  /**
   * The connection failed after the request may have been sent.
   *
   * @param reason the cause, for the log
   */
  record Lost(String reason) implements Failure {}

  /** No byte of the answer arrived for longer than allowed. */
  record Stalled() implements Failure {}
}
