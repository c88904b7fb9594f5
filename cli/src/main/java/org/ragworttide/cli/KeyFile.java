package org.ragworttide.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Reads a caller's key from a file, so that no key appears on a command line; stateless. */
final class KeyFile {

  private KeyFile() {}

  static String read(Path file) {
    try {
      return Files.readString(file).strip();
    } catch (IOException e) {
      throw new IllegalArgumentException("can't read " + file, e);
    }
  }

  static String digest(Path file) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(sha.digest(read(file).getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
