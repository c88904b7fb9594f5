package org.ragworttide.daemon.caller;

/** Result of the check of a presented API key; immutable, safe for use by any thread. */
sealed interface KeyCheck {

  /** The key admits its organisation's requests. */
  record Valid(CallerKey key) implements KeyCheck {}

  /** The key has been withdrawn. */
  record Withdrawn() implements KeyCheck {}

  /** The configuration has no such key. */
  record Unknown() implements KeyCheck {}
}
