package org.ragworttide.daemon.relay;

/** Stable codes of refusals, each with its HTTP status and title. */
public enum ProblemCode {
  /** The request's head, query or header values are malformed. */
  BAD_REQUEST("bad-request", 400, "The request is malformed"),
  /** The body isn't valid JSON in UTF-8 or lacks a field that a chat requires. */
  BAD_BODY("bad-body", 400, "The request's body is malformed"),
  /** A request to a non-idempotent route has no Idempotency-Key. */
  IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400, "Idempotency-Key is missing"),
  /** The request has no API key or an unknown one. */
  KEY_UNKNOWN("key-unknown", 401, "The key is missing or unknown"),
  /** The API key has been withdrawn. */
  KEY_WITHDRAWN("key-withdrawn", 401, "The key has been withdrawn"),
  /** No route has this path. */
  ROUTE_UNKNOWN("route-unknown", 404, "No such route"),
  /** No engine of the configuration serves the model. */
  MODEL_UNKNOWN("model-unknown", 404, "No such model"),
  /** The route doesn't allow this method. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The method is not allowed"),
  /** The request didn't arrive in time. */
  REQUEST_TIMEOUT("request-timeout", 408, "The request came too slowly"),
  /** The first request with the same Idempotency-Key is still running. */
  FIRST_RUNNING("first-running", 409, "The first request with this key is running"),
  /** The first request with the same Idempotency-Key was sent and its answer was lost. */
  FIRST_MAY_HAVE_RUN("first-may-have-run", 409, "The first request with this key may have run"),
  /** The body is larger than allowed. */
  BODY_TOO_LARGE("body-too-large", 413, "The request's body is too large"),
  /** The request target is longer than allowed. */
  TARGET_TOO_LONG("target-too-long", 414, "The request target is too long"),
  /** The Idempotency-Key was used earlier for another request. */
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, "Idempotency-Key was used before"),
  /** The request has crashed upstreams and is refused for a limited time. */
  QUARANTINED("quarantined", 422, "The request has crashed upstreams"),
  /** The headers are larger than allowed. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The request's headers are too large"),
  /** The organisation exceeds its rate and burst. */
  RATE_EXCEEDED("rate-exceeded", 429, "The organisation's rate is exceeded"),
  /** The organisation begins more claims than others while the total is too high. */
  CLAIMS_EXCEEDED("claims-exceeded", 429, "Too many non-idempotent requests"),
  /** The daemon failed unexpectedly. */
  INTERNAL("internal", 500, "The daemon failed"),
  /** The connection to the upstream was lost. */
  UPSTREAM_LOST("upstream-lost", 502, "The upstream's answer was lost"),
  /** The upstream answered with a redirect, which is not followed. */
  UPSTREAM_REDIRECT("upstream-redirect", 502, "The upstream answered with a redirect"),
  /** The upstream's answer is larger than allowed. */
  ANSWER_TOO_LARGE("answer-too-large", 502, "The upstream's answer is too large"),
  /** No upstream can run the request at present. */
  NO_UPSTREAM("no-upstream", 503, "No upstream can take the request"),
  /** All upstreams are at their load limit. */
  OVERLOADED("overloaded", 503, "The upstreams are at their limit"),
  /** No decision on the rate or the claim can be reached at present. */
  DECISION_UNAVAILABLE("decision-unavailable", 503, "The request can't be decided now"),
  /** The claim on the Idempotency-Key was not granted. */
  CLAIM_REFUSED("claim-refused", 503, "The claim was not granted"),
  /** The daemon has no configuration yet. */
  NOT_READY("not-ready", 503, "The daemon is not ready"),
  /** The deadline has passed or is too short. */
  DEADLINE_PASSED("deadline-passed", 504, "The deadline passed");

  private final String code;
  private final int status;
  private final String title;

  ProblemCode(String code, int status, String title) {
    this.code = code;
    this.status = status;
    this.title = title;
  }

  /** Returns the code in the form in which callers receive it. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns a summary of the problem for people. */
  public String title() {
    return title;
  }
}
