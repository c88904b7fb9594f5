package org.ragworttide.cli;

import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;

/** Parsed command of the tool; each kind is an immutable record. */
sealed interface Command {

  /**
   * Checks a configuration document or a daemon's settings.
   *
   * @param file the file; a dash stands for the standard input
   * @param settings whether it holds settings
   */
  record Check(Path file, boolean settings) implements Command {}

  /**
   * Compares two configuration documents.
   *
   * @param from the earlier document
   * @param to the later document
   */
  record Diff(Path from, Path to) implements Command {}

  /**
   * Explains how a request would be routed and limited.
   *
   * @param document the configuration document
   * @param path the request's path
   * @param model the requested model, for chats
   * @param keyDigest SHA-256 of the caller's key
   * @param chat the chat's id
   */
  record Explain(
      Path document,
      String path,
      Optional<String> model,
      Optional<String> keyDigest,
      Optional<String> chat)
      implements Command {}

  /**
   * Shows the state of a daemon and its view of the fleet.
   *
   * @param operators address of its operators' listener
   */
  record Status(URI operators) implements Command {}

  /**
   * Shows the last entries of a daemon's audit trail.
   *
   * @param operators address of its operators' listener
   * @param last maximum number of entries
   */
  record Audit(URI operators, int last) implements Command {}

  /**
   * Makes a daemon finish running requests and refuse new ones.
   *
   * @param operators address of its operators' listener
   */
  record Drain(URI operators) implements Command {}

  /**
   * Sends requests at a fixed rate, independent of the answers.
   *
   * @param url target of the requests
   * @param ratePerSecond requests per second
   * @param seconds duration of the recorded part
   * @param warmupSeconds duration of the unrecorded part before it
   * @param keyFile file with the caller's key
   * @param body the body of a POST; empty for a GET
   * @param chats number of chat ids, used in rotation
   * @param plot file for a plot in SVG
   */
  record Load(
      URI url,
      double ratePerSecond,
      int seconds,
      int warmupSeconds,
      Optional<Path> keyFile,
      Optional<String> body,
      int chats,
      Optional<Path> plot)
      implements Command {}
}
