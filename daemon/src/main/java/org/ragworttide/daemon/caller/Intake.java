package org.ragworttide.daemon.caller;

import java.util.Optional;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.document.ConfigurationDocument.Route;

/** What the check of a request's head says; immutable, safe for use by any thread. */
sealed interface Intake {

  /**
   * The head is well formed and the key, if one is needed, is valid.
   *
   * @param route the asked route
   * @param presentedKey the key as presented, empty if none was; must not leave this package
   * @param key the key that admits the request, empty on an open route
   * @param chat the chat, if named
   * @param requestKey the Idempotency-Key, if given
   * @param deadline when the caller stops waiting
   * @param target path and query without what may carry a key
   */
  record Accepted(
      Route route,
      String presentedKey,
      Optional<CallerKey> key,
      Optional<ChatId> chat,
      Optional<RequestKey> requestKey,
      Deadline deadline,
      String target)
      implements Intake {

    @Override
    public String toString() {
      return "Accepted[" + route.id() + "]";
    }
  }

  /** The request is refused. */
  record Refused(Problem problem) implements Intake {}
}
