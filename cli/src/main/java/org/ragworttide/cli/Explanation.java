package org.ragworttide.cli;

import java.util.List;
import java.util.Optional;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;

/** Outcome of explaining a request; each kind is an immutable record. */
sealed interface Explanation {

  /**
   * Upstream that serves the request.
   *
   * @param upstream its id
   * @param zone its availability zone
   * @param takesWork whether it and its zone are in service
   */
  record Candidate(String upstream, String zone, boolean takesWork) {}

  /**
   * The daemon would refuse the request without running it.
   *
   * @param status the HTTP status
   * @param reason the reason
   */
  record Refused(int status, String reason) implements Explanation {}

  /**
   * The daemon would send the request to the first candidate with free capacity.
   *
   * @param route the route
   * @param organisation organisation whose rate limit applies; empty on an open route
   * @param candidates upstreams in the order of preference
   */
  record Routed(Route route, Optional<Organisation> organisation, List<Candidate> candidates)
      implements Explanation {}
}
