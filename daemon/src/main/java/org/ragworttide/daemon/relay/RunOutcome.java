package org.ragworttide.daemon.relay;

/** Whether a refused request has run on an upstream. */
public enum RunOutcome {
  /** No byte of the request can have reached an upstream. */
  NOT_RUN("not-run"),
  /** The request was sent and its answer is not known. */
  MAY_HAVE_RUN("may-have-run"),
  /** An upstream has answered the request. */
  COMPLETED("completed");

  private final String code;

  RunOutcome(String code) {
    this.code = code;
  }

  /** Returns the outcome in the form in which callers receive it. */
  public String code() {
    return code;
  }
}
