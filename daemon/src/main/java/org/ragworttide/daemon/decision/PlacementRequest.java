package org.ragworttide.daemon.decision;

import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Properties of a request by which a placement chooses its upstream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param chat the chat, which may have later requests; empty if the caller named none
 * @param target what the upstream must serve
 * @param organisation the organisation that sent the request, empty on an open route
 * @param deadline when the caller stops waiting
 * @param tried upstreams on which this request has already failed
 * @param fingerprint hexadecimal SHA-256 over route and body, the same when a caller retries
 */
public record PlacementRequest(
    Optional<ChatId> chat,
    Target target,
    Optional<OrganisationId> organisation,
    Deadline deadline,
    Set<UpstreamId> tried,
    String fingerprint) {

  /** Copies the set of tried upstreams. */
  public PlacementRequest {
    tried = Set.copyOf(tried);
  }

  /** Model or route that the chosen upstream must serve. */
  public sealed interface Target {

    /**
     * A model, served by any engine that has it.
     *
     * @param name the model's name
     * @param route the chat route's name, which may restrict the engines
     */
    record Model(String name, String route) implements Target {}

    /**
     * A route to services that are not engines.
     *
     * @param id the route's name in the configuration document
     */
    record ServiceRoute(String id) implements Target {}
  }
}
