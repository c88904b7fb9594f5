package org.ragworttide.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.List;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Reloads TLS files when their content has changed.
 *
 * <p>Invariant: if the files are invalid, the previously loaded ones stay in use. Not thread-safe.
 */
final class TlsReloader {
  private final List<Path> files;
  private final Loader loader;
  private int lastContentHash;

  TlsReloader(List<Path> files, Loader loader) {
    this.files = List.copyOf(files);
    this.loader = loader;
    this.lastContentHash = contentHash();
  }

  /** Loads the files and puts them in use. */
  interface Loader {
    void load() throws IOException, GeneralSecurityException;
  }

  /** Checks the files and reloads them if they have changed. */
  void check() {
    int contentHash = contentHash();
    if (contentHash == lastContentHash) {
      return;
    }
    lastContentHash = contentHash;
    try {
      loader.load();
      EventLog.log(LogEvent.TLS_RELOADED, files);
    } catch (IOException | GeneralSecurityException e) {
      EventLog.log(LogEvent.TLS_UNUSABLE, files, e.getMessage());
    }
  }

  private int contentHash() {
    int hash = 1;
    for (Path file : files) {
      hash = 31 * hash + contentHash(file);
    }
    return hash;
  }

  private static int contentHash(Path file) {
    try {
      return Arrays.hashCode(Files.readAllBytes(file));
    } catch (IOException e) {
      return 0;
    }
  }
}
