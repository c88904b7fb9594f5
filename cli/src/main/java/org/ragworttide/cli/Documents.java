package org.ragworttide.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.DocumentReader;
import org.ragworttide.document.DocumentResult;
import org.ragworttide.document.Fault;

/** Loads the files that a command names; stateless. */
final class Documents {
  private static final Path STANDARD_INPUT = Path.of("-");

  private Documents() {}

  static byte[] bytes(Path file) {
    try {
      return file.equals(STANDARD_INPUT) ? System.in.readAllBytes() : Files.readAllBytes(file);
    } catch (IOException e) {
      throw new UnusableFileException("can't read " + file + ": " + e.getMessage());
    }
  }

  /** Loads a document; throws {@link UnusableFileException} if it is not valid. */
  static ConfigurationDocument load(Path file) {
    return switch (DocumentReader.read(bytes(file))) {
      case DocumentResult.Accepted accepted -> accepted.document();
      case DocumentResult.Refused refused ->
          throw new UnusableFileException(file + " is refused:\n" + lines(refused.faults()));
    };
  }

  static String lines(List<Fault> faults) {
    StringBuilder text = new StringBuilder();
    faults.forEach(fault -> text.append("  ").append(fault).append('\n'));
    return text.toString();
  }

  /** Thrown if a file cannot be read or written, or holds no valid document; immutable. */
  static final class UnusableFileException extends RuntimeException {
    private static final long serialVersionUID = 1;

    UnusableFileException(String message) {
      super(message);
    }
  }
}
