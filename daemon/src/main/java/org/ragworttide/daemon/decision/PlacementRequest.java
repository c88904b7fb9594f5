package org.ragworttide.daemon.decision;

import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * What a placement needs to know of a request.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param chat the chat that may return, empty if the caller named none
 * @param target what the upstream must serve
 * @param organisation whose request it is, empty on an open route
 * @param deadline when the caller stops waiting
 * @param tried upstreams that failed this request already
 * @param fingerprint hexadecimal SHA-256 over route and body, the same when a caller sends again
 */
public record PlacementRequest(
    Optional<ChatId> chat,
    Target target,
    Optional<OrganisationId> organisation,
    Deadline deadline,
    Set<UpstreamId> tried,
    String fingerprint) {

  /** Copies the set. */
  public PlacementRequest {
    tried = Set.copyOf(tried);
  }

  /** What an upstream must serve. */
  public sealed interface Target {

    /**
     * A model, on any engine that has it.
     *
     * @param name the model's name
     * @param route the chat route's name, which may restrict the engines
     */
    record Model(String name, String route) implements Target {}

    /**
     * A route to plain services.
     *
     * @param id the route's name in the configuration document
     */
    record ServiceRoute(String id) implements Target {}
  }
}
