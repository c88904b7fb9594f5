package org.ragworttide.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import org.ragworttide.document.ConfigurationDocument.Route;

/** Checks the values of the headers that callers may set; stateless, safe for use by any thread. */
final class HeadValues {
  static final String CHAT_ID = "Chat-Id";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";

  private static final int MAX_ID_CHARS = 120;
  private static final int MAX_TIMEOUT_DIGITS = 12;

  private HeadValues() {}

  /** Returns what is wrong with the headers of a request to the route. */
  static Optional<Problem> fault(HttpHeaders headers, Route route) {
    if (repeated(headers, CHAT_ID) || malformedId(headers.get(CHAT_ID))) {
      return malformed(CHAT_ID);
    }
    if (repeated(headers, IDEMPOTENCY_KEY) || malformedId(headers.get(IDEMPOTENCY_KEY))) {
      return malformed(IDEMPOTENCY_KEY);
    }
    if (repeated(headers, REQUEST_TIMEOUT) || malformedTimeout(headers.get(REQUEST_TIMEOUT))) {
      return malformed(REQUEST_TIMEOUT);
    }
    if (!route.idempotent() && !headers.contains(IDEMPOTENCY_KEY)) {
      String detail = "requests to this route may run once only and need a key of their own";
      return Optional.of(Problem.notRun(ProblemCode.IDEMPOTENCY_KEY_MISSING, detail));
    }
    return Optional.empty();
  }

  /** Returns how long the caller waits, at most as long as the route's window. */
  static long timeoutMillis(HttpHeaders headers, Route route) {
    String value = headers.get(REQUEST_TIMEOUT);
    return value == null
        ? route.windowMillis()
        : Math.min(route.windowMillis(), Long.parseLong(value));
  }

  private static boolean repeated(HttpHeaders headers, String name) {
    return headers.getAll(name).size() > 1;
  }

  private static boolean malformedId(String value) {
    return value != null
        && (value.isBlank()
            || value.length() > MAX_ID_CHARS
            || !value.chars().allMatch(c -> c > ' ' && c < 0x7f));
  }

  private static boolean malformedTimeout(String value) {
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
