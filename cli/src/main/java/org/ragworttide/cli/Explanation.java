package org.ragworttide.cli;

import java.util.List;
import java.util.Optional;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;

/** How a document would have a request handled; each kind is an immutable record. */
sealed interface Explanation {

  /**
   * An upstream that could take the request.
   *
   * @param upstream its id
   * @param zone its availability zone
   * @param takesWork whether it and its zone are in service
   */
  record Candidate(String upstream, String zone, boolean takesWork) {}

  /**
   * The request would be refused, and not run.
   *
   * @param status the HTTP status
   * @param reason why
   */
  record Refused(int status, String reason) implements Explanation {}

  /**
   * The request would be sent to the first candidate that has room.
   *
   * @param route the route
   * @param organisation whose rate it counts against; empty on an open route
   * @param candidates upstreams in the order of preference
   */
  record Routed(Route route, Optional<Organisation> organisation, List<Candidate> candidates)
      implements Explanation {}
}
