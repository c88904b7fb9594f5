package org.ragworttide.cli;

/** Result of parsing the arguments; each kind is an immutable record. */
sealed interface ParseResult {

  /**
   * The arguments are a valid command.
   *
   * @param command the command
   * @param json whether to print JSON
   */
  record Parsed(Command command, boolean json) implements ParseResult {}

  /**
   * The arguments request help.
   *
   * @param text the help text
   */
  record Help(String text) implements ParseResult {}

  /**
   * The arguments are not a valid command.
   *
   * @param message description of the error
   */
  record Invalid(String message) implements ParseResult {}
}
