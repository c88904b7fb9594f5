package org.ragworttide.daemon.decision;

/**
 * Receives the outcome of a run whose claim was granted.
 *
 * <p>Invariant: only the first report has an effect. Safe for use by any thread.
 */
public interface ClaimHandle {

  /** Reports the upstream's answer. */
  void reportCompleted(int status, String contentType, byte[] body);

  /** Reports that no byte of the request can have reached an upstream. */
  void reportNotRun();

  /** Reports that the request was sent and its answer is not known. */
  void reportMayHaveRun();
}
