package org.ragworttide.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import org.ragworttide.document.ConfigurationDocument.Route;

/** Checks the values of the headers that callers may set; stateless, safe for use by any thread. */
final class HeaderValidator {
  static final String CHAT_ID = "Chat-Id";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";

  private static final int MAX_ID_CHARS = 120;
  private static final int MAX_TIMEOUT_DIGITS = 12;

  private HeaderValidator() {}

  /** Returns the problem with the headers of a request to the route, empty if they are valid. */
  static Optional<Problem> findProblem(HttpHeaders headers, Route route) {
    if (isRepeated(headers, CHAT_ID) || isMalformedId(headers.get(CHAT_ID))) {
      return malformed(CHAT_ID);
    }
    if (isRepeated(headers, IDEMPOTENCY_KEY) || isMalformedId(headers.get(IDEMPOTENCY_KEY))) {
      return malformed(IDEMPOTENCY_KEY);
    }
    if (isRepeated(headers, REQUEST_TIMEOUT) || isMalformedTimeout(headers.get(REQUEST_TIMEOUT))) {
      return malformed(REQUEST_TIMEOUT);
    }
    if (!route.idempotent() && !headers.contains(IDEMPOTENCY_KEY)) {
      String detail = "requests to this route may run once only and need a key of their own";
      return Optional.of(Problem.notRun(ProblemCode.IDEMPOTENCY_KEY_MISSING, detail));
    }
    return Optional.empty();
  }

  /** Returns how long the caller waits, at most the route's window. */
  static long timeoutMillis(HttpHeaders headers, Route route) {
    String value = headers.get(REQUEST_TIMEOUT);
    return value == null
        ? route.windowMillis()
        : Math.min(route.windowMillis(), Long.parseLong(value));
  }

  private static boolean isRepeated(HttpHeaders headers, String name) {
    return headers.getAll(name).size() > 1;
  }

  private static boolean isMalformedId(String value) {
    return value != null
        && (value.isBlank()
            || value.length() > MAX_ID_CHARS
            || !value.chars().allMatch(c -> c > ' ' && c < 0x7f));
  }

  private static boolean isMalformedTimeout(String value) {
    return value != null
        && (value.isEmpty()
            || value.length() > MAX_TIMEOUT_DIGITS
            || !value.chars().allMatch(c -> c >= '0' && c <= '9')
            || Long.parseLong(value) == 0);
  }

  private static Optional<Problem> malformed(String header) {
    return Optional.of(Problem.notRun(ProblemCode.BAD_REQUEST, header + " is malformed"));
  }
}
