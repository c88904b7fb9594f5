package org.ragworttide.cli;

/** What came of reading the arguments; each kind is an immutable record. */
sealed interface ParseResult {

  /**
   * The arguments make a command.
   *
   * @param command the command
   * @param json whether to print JSON
   */
  record Parsed(Command command, boolean json) implements ParseResult {}

  /**
   * Help was asked for.
   *
   * @param text the help
   */
  record Help(String text) implements ParseResult {}

  /**
   * The arguments make no command.
   *
   * @param message what is wrong
   */
  record Wrong(String message) implements ParseResult {}
}
