package org.ragworttide.daemon.caller;

import java.util.Optional;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.document.ConfigurationDocument.Route;

/** Result of the validation of a request's head; immutable, safe for use by any thread. */
sealed interface RequestHeadValidation {

  /**
   * The head is well formed and the key, if one is needed, is valid.
   *
   * @param route the requested route
   * @param presentedKey the API key as presented, empty if the caller presented none; must not
   *     leave this package
   * @param key the key that admits the request, empty on an open route
   * @param chat the chat, if the caller named one
   * @param requestKey the Idempotency-Key, if the caller sent one
   * @param deadline when the caller stops waiting
   * @param target path and query, without parameters that may carry an API key
   */
  record Accepted(
      Route route,
      String presentedKey,
      Optional<CallerKey> key,
      Optional<ChatId> chat,
      Optional<RequestKey> requestKey,
      Deadline deadline,
      String target)
      implements RequestHeadValidation {

    @Override
    public String toString() {
      return "Accepted[" + route.id() + "]";
    }
  }

  /** The request is refused. */
  record Refused(Problem problem) implements RequestHeadValidation {}
}
