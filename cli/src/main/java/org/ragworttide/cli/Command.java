package org.ragworttide.cli;

import java.net.URI;
import java.nio.file.Path;
import java.util.Optional;

/** What the tool was asked to do; each kind is an immutable record. */
sealed interface Command {

  /**
   * Checks a configuration document or a daemon's settings.
   *
   * @param file the file; a dash for the standard input
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
   * @param model the asked model, for chats
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
   * Shows the state of a daemon and of the fleet as it sees it.
   *
   * @param operators address of its operators' listener
   */
  record Status(URI operators) implements Command {}

  /**
   * Shows the last entries of a daemon's audit trail.
   *
   * @param operators address of its operators' listener
   * @param last how many
   */
  record Audit(URI operators, int last) implements Command {}

  /**
   * Makes a daemon finish its work and take none.
   *
   * @param operators address of its operators' listener
   */
  record Drain(URI operators) implements Command {}

  /**
   * Sends requests at a fixed rate, whatever the answers.
   *
   * @param url where to send them
   * @param ratePerSecond requests a second
   * @param seconds how long
   * @param warmupSeconds how long before that without recording
   * @param keyFile file with the caller's key
   * @param body the body to post, or none to get
   * @param chats number of chat ids that take turns
   * @param plot where to write a plot in SVG
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
