package org.ragworttide.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.daemon.decision.Deadline;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;

/**
 * Validates the head of a request against the configuration in force.
 *
 * <p>Invariant: a refused request has not run. Safe for use by any thread.
 */
final class RequestHeadValidator {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private final ConfigurationIndexCache indexCache;

  RequestHeadValidator(ConfigurationIndexCache indexCache) {
    this.indexCache = indexCache;
  }

  /** Validates the head of a request. */
  RequestHeadValidation validate(RequestHead head) {
    Optional<ConfigurationIndex> index = indexCache.current();
    if (index.isEmpty()) {
      return new RequestHeadValidation.Refused(
          Problem.notRun(ProblemCode.NOT_READY, "no configuration yet", NOT_READY_RETRY_MILLIS));
    }
    if (!head.uri().startsWith("/")) {
      return refuse(ProblemCode.BAD_REQUEST, "the request target must be a path");
    }
    Optional<Route> route = index.get().route(head.path());
    if (route.isEmpty()) {
      return refuse(ProblemCode.ROUTE_UNKNOWN, "no route has this path");
    }
    return checkKey(head, route.get(), index.get().keys());
  }

  /** Returns whether a key that was valid earlier is still valid. */
  boolean stillAdmits(CallerKey key) {
    return indexCache.current().map(index -> index.keys().stillAdmits(key)).orElse(false);
  }

  private static RequestHeadValidation checkKey(RequestHead head, Route route, KeyRing keys) {
    if (route.open()) {
      return checkForm(head, route, Optional.empty());
    }
    return switch (keys.check(head.bearerKey())) {
      case KeyCheck.Valid valid -> checkForm(head, route, Optional.of(valid.key()));
      case KeyCheck.Withdrawn withdrawn ->
          refuse(ProblemCode.KEY_WITHDRAWN, "the key works no longer");
      case KeyCheck.Unknown unknown ->
          refuse(ProblemCode.KEY_UNKNOWN, "give a valid key as bearer token");
    };
  }

  private static RequestHeadValidation checkForm(
      RequestHead head, Route route, Optional<CallerKey> key) {
    if (route.kind() == RouteKind.CHAT && !head.method().equals(HttpMethod.POST)) {
      return refuse(ProblemCode.METHOD_NOT_ALLOWED, "chats are asked by POST");
    }
    Optional<Problem> problem = HeaderValidator.findProblem(head.headers(), route);
    if (problem.isPresent()) {
      return new RequestHeadValidation.Refused(problem.get());
    }
    Optional<String> query = QueryFilter.withoutKeys(head.query(), head.bearerKey());
    if (query.isEmpty()) {
      return refuse(ProblemCode.BAD_REQUEST, "the query is malformed");
    }
    return accept(head, route, key, query.get());
  }

  private static RequestHeadValidation accept(
      RequestHead head, Route route, Optional<CallerKey> key, String query) {
    HttpHeaders headers = head.headers();
    return new RequestHeadValidation.Accepted(
        route,
        head.bearerKey(),
        key,
        Optional.ofNullable(headers.get(HeaderValidator.CHAT_ID)).map(ChatId::new),
        Optional.ofNullable(headers.get(HeaderValidator.IDEMPOTENCY_KEY))
            .map(given -> requestKey(given, route)),
        Deadline.afterMillis(HeaderValidator.timeoutMillis(headers, route)),
        query.isEmpty() ? route.path() : route.path() + "?" + query);
  }

  /** Returns a key that differs for each route, so that no route replays the answer of another. */
  private static RequestKey requestKey(String key, Route route) {
    return new RequestKey(key + ' ' + route.id());
  }

  private static RequestHeadValidation refuse(ProblemCode code, String detail) {
    return new RequestHeadValidation.Refused(Problem.notRun(code, detail));
  }
}
