package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * What one attempt on an upstream brings forth, in order: a head, chunks, and at most one failure.
 *
 * <p>Invariant: a sequence without failure is a whole answer. Immutable, safe for use by any
 * thread.
 */
public sealed interface UpstreamEvent {

  /**
   * The answer's head.
   *
   * @param status HTTP status
   * @param headers the answer's headers as received
   */
  record Head(int status, HttpHeaders headers) implements UpstreamEvent {}

  /**
   * A part of the answer's body.
   *
   * @param bytes the part
   */
  record Chunk(byte[] bytes) implements UpstreamEvent {}

  /** The attempt ended without a whole answer. */
  sealed interface Failure extends UpstreamEvent {}

  /**
   * No connection came about, so that no byte of the request can have reached the upstream.
   *
   * @param reason for the log
   */
  record NotSent(String reason) implements Failure {}

  /**
   * The connection failed after the request may have been sent.
   *
   * @param reason for the log
   */
  record Lost(String reason) implements Failure {}

  /** The answer stood still for longer than allowed. */
  record Stalled() implements Failure {}
}
