package org.ragworttide.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the start. Safe for any thread. */
final class Journal implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Journal(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the milliseconds since the start. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Adds a line. */
  synchronized void add(String format, Object... values) {
    out.println(now() + " " + String.format(format, values));
  }

  /** Adds a line and prints it. */
  void say(String format, Object... values) {
    add(format, values);
    System.out.println(String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
