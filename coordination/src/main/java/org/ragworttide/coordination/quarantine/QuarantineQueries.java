package org.ragworttide.coordination.quarantine;

import org.ragworttide.coordination.id.Fingerprint;

/**
 * Reads what is known about requests that crash upstreams.
 *
 * <p>Called on the coordination thread only.
 */
public interface QuarantineQueries {

  /** Returns how many upstreams died while the request ran, as far as this VM knows. */
  int deaths(Fingerprint fingerprint);

  /** Returns how many requests are under suspicion or refused. */
  int size();
}
