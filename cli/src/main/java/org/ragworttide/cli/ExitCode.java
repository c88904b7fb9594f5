package org.ragworttide.cli;

/** Exit codes of the tool, as docs/OPERATING.md lists them; immutable. */
enum ExitCode {
  /** Done, or valid, or the same. */
  OK(0),
  /** Refused, or different, or not served. */
  NEGATIVE(1),
  /** The arguments or a file can't be used. */
  USAGE(2),
  /** A daemon can't be reached or answers with an error. */
  UNREACHABLE(3);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
