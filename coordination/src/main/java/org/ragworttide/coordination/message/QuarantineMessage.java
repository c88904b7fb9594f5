package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.id.Fingerprint;

/**
 * Messages about the quarantine of requests that crash upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface QuarantineMessage extends PeerMessage {

  /**
   * Reports which requests were running on an upstream when it died.
   *
   * @param death number that identifies the death, the same for all daemons that observed it
   * @param fingerprints fingerprints of the requests
   * @param ageMillis how long ago the sender learned of the death
   */
  record Died(long death, List<Fingerprint> fingerprints, int ageMillis)
      implements QuarantineMessage {

    /** Copies the list. */
    public Died {
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /**
   * Requests permission for the next run of a fingerprint from its owner.
   *
   * @param requestId number that identifies this message
   * @param fingerprint fingerprint of the request
   */
  record RunRequest(long requestId, Fingerprint fingerprint) implements QuarantineMessage {}

  /**
   * Answers a request for a run.
   *
   * @param requestId number of the answered message
   * @param answer the decision of the owner
   * @param retryAfterMillis delay after which a refused run may be requested again
   */
  record RunReply(long requestId, RunAnswer answer, int retryAfterMillis)
      implements QuarantineMessage {}

  /**
   * Reports to the owner that a permitted run ended without a crash.
   *
   * @param requestId number of the permitted message
   * @param fingerprint fingerprint of the request
   */
  record RunEnded(long requestId, Fingerprint fingerprint) implements QuarantineMessage {}

  /**
   * Carries a hash of the deaths that the sender knows, for comparison.
   *
   * @param hash hash that is the same for the same deaths
   */
  record Summary(long hash) implements QuarantineMessage {}

  /** Decision of the owner about a run. */
  enum RunAnswer {
    /** The request may run now. */
    PERMITTED,
    /** Another run of the request has not ended yet. */
    BUSY,
    /** The request has crashed two upstreams. */
    REFUSED
  }
}
