package org.ragworttide.daemon.caller;

/** What a presented key is worth; immutable, safe for use by any thread. */
sealed interface KeyCheck {

  /** The key admits its organisation's requests. */
  record Valid(CallerKey key) implements KeyCheck {}

  /** The key no longer works. */
  record Withdrawn() implements KeyCheck {}

  /** The key was never given out. */
  record Unknown() implements KeyCheck {}
}
