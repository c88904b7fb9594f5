package org.ragworttide.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** Names of the platform's wire. Immutable after loading. */
final class Wire {
  private static final Properties NAMES = new Properties();

  private Wire() {}

  /** Loads the names from the file. */
  static void load(Path file) {
    try (InputStream in = Files.newInputStream(file)) {
      NAMES.load(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the name that the wire uses. */
  static String name(String key) {
    String name = NAMES.getProperty(key);
    if (name == null) {
      throw new IllegalArgumentException("no name " + key);
    }
    return name;
  }
}
