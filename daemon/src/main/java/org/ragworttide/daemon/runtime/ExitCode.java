package org.ragworttide.daemon.runtime;

/** The exit codes of the daemon, as docs/OPERATING.md lists them. */
public enum ExitCode {
  /** The process ended normally. */
  OK(0),
  /** The command line is wrong. */
  USAGE(2),
  /** The settings are wrong. */
  SETTINGS(3),
  /** A listener could not be opened. */
  LISTEN(4),
  /** An invariant was broken. */
  BROKEN_INVARIANT(70);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number that the process exits with. */
  public int code() {
    return code;
  }
}
