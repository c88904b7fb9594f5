package org.ragworttide.daemon.relay;

import java.util.Optional;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.upstream.UpstreamRequest;

/**
 * Caller's request whose form and API key have been checked.
 *
 * <p>Invariant: a non-idempotent request has a key. Immutable, safe for use by any thread.
 *
 * @param id the request's id
 * @param organisation the organisation whose API key the request carries, empty on an open route
 * @param chat the chat, if the caller named one
 * @param key the caller's Idempotency-Key, if it gave one
 * @param deadline when the caller stops waiting
 * @param target what the upstream must serve
 * @param fingerprint hash that is the same for requests of the same content
 * @param streaming whether the caller asked for a stream of events
 * @param upstream the request as an upstream receives it
 */
public record CallerRequest(
    RequestId id,
    Optional<OrganisationId> organisation,
    Optional<ChatId> chat,
    Optional<RequestKey> key,
    Deadline deadline,
    Target target,
    String fingerprint,
    boolean streaming,
    UpstreamRequest upstream) {

  /** Checks that a non-idempotent request can be claimed. */
  public CallerRequest {
    if (!upstream.idempotent() && key.isEmpty()) {
      throw new IllegalArgumentException("a non-idempotent request needs a key");
    }
  }

  /**
   * Returns an id that is the same for a caller's retry and differs for a request of other content,
   * so that rate limits count a retry once.
   */
  public RequestId deduplicationId() {
    long hash = Rendezvous.hash(id.value() + '\n' + fingerprint);
    return new RequestId(Long.toHexString(hash));
  }
}
