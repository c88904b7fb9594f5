package org.ragworttide.cli;

/** Exit codes of the tool, as docs/OPERATING.md lists them; immutable. */
enum ExitCode {
  /** The command succeeded: the file is valid, the documents are equal or the request is routed. */
  OK(0),
  /**
   * The answer is negative: the file is refused, the documents differ or the request is refused.
   */
  NEGATIVE(1),
  /** The arguments or a file cannot be used. */
  USAGE(2),
  /** A daemon cannot be reached or answers with an error. */
  UNREACHABLE(3);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
