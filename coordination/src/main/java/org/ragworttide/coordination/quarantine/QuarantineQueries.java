package org.ragworttide.coordination.quarantine;

import org.ragworttide.coordination.id.Fingerprint;

/**
 * Queries of the records of requests that crash upstreams.
 *
 * <p>Called on the coordination thread only.
 */
public interface QuarantineQueries {

  /** Returns how many upstreams died while the request ran, according to this VM's records. */
  int deaths(Fingerprint fingerprint);

  /** Returns how many requests are suspected or refused. */
  int size();
}
