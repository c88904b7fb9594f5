package org.ragworttide.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Request that needs an upstream.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param chat the chat that it continues
 * @param model the model that must serve it
 * @param organisation the organisation on whose behalf it runs
 * @param tried upstreams on which it has already failed
 */
public record RouteRequest(
    ChatId chat, ModelId model, OrganisationId organisation, Set<UpstreamId> tried) {

  /** Checks that nothing is missing. */
  public RouteRequest {
    Objects.requireNonNull(chat, "chat");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(organisation, "organisation");
    Objects.requireNonNull(tried, "tried");
  }
}
