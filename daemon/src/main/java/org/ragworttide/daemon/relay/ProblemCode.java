package org.ragworttide.daemon.relay;

/** The stable codes of refusals, with their HTTP status. */
public enum ProblemCode {
  /** The request's head, query or header values are malformed. */
  BAD_REQUEST("bad-request", 400, "The request is malformed"),
  /** The body isn't valid JSON in UTF-8 or lacks what a chat needs. */
  BAD_BODY("bad-body", 400, "The request's body is malformed"),
  /** A non-idempotent route was asked without Idempotency-Key. */
  IDEMPOTENCY_KEY_MISSING("idempotency-key-missing", 400, "Idempotency-Key is missing"),
  /** No key or a key that isn't known. */
  KEY_UNKNOWN("key-unknown", 401, "The key is missing or unknown"),
  /** The key has been withdrawn. */
  KEY_WITHDRAWN("key-withdrawn", 401, "The key has been withdrawn"),
  /** No route has this path. */
  ROUTE_UNKNOWN("route-unknown", 404, "No such route"),
  /** The configuration has no engine with the model. */
  MODEL_UNKNOWN("model-unknown", 404, "No such model"),
  /** The route doesn't take this method. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, "The method is not allowed"),
  /** The request didn't arrive in time. */
  REQUEST_TIMEOUT("request-timeout", 408, "The request came too slowly"),
  /** The first request with the same Idempotency-Key is still running. */
  FIRST_RUNNING("first-running", 409, "The first request with this key is running"),
  /** The first request with the same Idempotency-Key was sent and its answer lost. */
  FIRST_MAY_HAVE_RUN("first-may-have-run", 409, "The first request with this key may have run"),
  /** The body is larger than allowed. */
  BODY_TOO_LARGE("body-too-large", 413, "The request's body is too large"),
  /** The request target is longer than allowed. */
  TARGET_TOO_LONG("target-too-long", 414, "The request target is too long"),
  /** The Idempotency-Key came with another request before. */
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422, "Idempotency-Key was used before"),
  /** The request has crashed upstreams and is refused for a while. */
  QUARANTINED("quarantined", 422, "The request has crashed upstreams"),
  /** The headers are larger than allowed. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "The request's headers are too large"),
  /** The organisation is over its rate and burst. */
  RATE_EXCEEDED("rate-exceeded", 429, "The organisation's rate is exceeded"),
  /** The organisation begins more claims than others while there are too many. */
  CLAIMS_EXCEEDED("claims-exceeded", 429, "Too many non-idempotent requests"),
  /** The daemon failed. */
  INTERNAL("internal", 500, "The daemon failed"),
  /** The upstream's connection was lost. */
  UPSTREAM_LOST("upstream-lost", 502, "The upstream's answer was lost"),
  /** The upstream answered with a redirect, which is not followed. */
  UPSTREAM_REDIRECT("upstream-redirect", 502, "The upstream answered with a redirect"),
  /** The upstream's answer is larger than allowed. */
  ANSWER_TOO_LARGE("answer-too-large", 502, "The upstream's answer is too large"),
  /** No upstream can take the request now. */
  NO_UPSTREAM("no-upstream", 503, "No upstream can take the request"),
  /** All upstreams carry as much as they may. */
  OVERLOADED("overloaded", 503, "The upstreams are at their limit"),
  /** The decision about rate or claim can't be had now. */
  DECISION_UNAVAILABLE("decision-unavailable", 503, "The request can't be decided now"),
  /** The claim on the Idempotency-Key was not granted. */
  CLAIM_REFUSED("claim-refused", 503, "The claim was not granted"),
  /** The daemon has no configuration yet. */
  NOT_READY("not-ready", 503, "The daemon is not ready"),
  /** The deadline passed or is too short. */
  DEADLINE_PASSED("deadline-passed", 504, "The deadline passed");

  private final String code;
  private final int status;
  private final String title;

  ProblemCode(String code, int status, String title) {
    this.code = code;
    this.status = status;
    this.title = title;
  }

  /** Returns the code as callers read it. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the summary for people. */
  public String title() {
    return title;
  }
}
