package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.id.Fingerprint;

/**
 * Messages of the quarantine of requests that crash upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface QuarantineMessage extends PeerMessage {

  /**
   * Tells which requests ran on an upstream when it died.
   *
   * @param death identifies the death, the same for all daemons that saw it
   * @param fingerprints the requests
   * @param ageMillis how long ago the sender learned of it
   */
  record Died(long death, List<Fingerprint> fingerprints, int ageMillis)
      implements QuarantineMessage {

    /** Copies the list. */
    public Died {
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /**
   * Asks a fingerprint's owner for its next run.
   *
   * @param requestId identifies the question
   * @param fingerprint the request
   */
  record RunRequest(long requestId, Fingerprint fingerprint) implements QuarantineMessage {}

  /**
   * Answers a question for a run.
   *
   * @param requestId the question
   * @param answer the owner's decision
   * @param retryAfterMillis when a refused one may be asked again
   */
  record RunReply(long requestId, RunAnswer answer, int retryAfterMillis)
      implements QuarantineMessage {}

  /**
   * Tells the owner that a permitted run ended without harm.
   *
   * @param requestId the question that was permitted
   * @param fingerprint the request
   */
  record RunEnded(long requestId, Fingerprint fingerprint) implements QuarantineMessage {}

  /**
   * Summarises the deaths that the sender knows, for comparison.
   *
   * @param hash the same for the same deaths
   */
  record Summary(long hash) implements QuarantineMessage {}

  /** An owner's decision about a run. */
  enum RunAnswer {
    /** The request may run now. */
    PERMITTED,
    /** Another run of it has not ended yet. */
    BUSY,
    /** It has crashed two upstreams. */
    REFUSED
  }
}
