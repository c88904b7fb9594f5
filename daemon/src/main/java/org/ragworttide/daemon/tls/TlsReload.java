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
 * Reads TLS files again when their content has changed.
 *
 * <p>Invariant: files that can't be used leave in force what was read before. Not safe for use by
 * several threads at once.
 */
final class TlsReload {
  private final List<Path> files;
  private final Loader loader;
  private int lastContent;

  TlsReload(List<Path> files, Loader loader) {
    this.files = List.copyOf(files);
    this.loader = loader;
    this.lastContent = content();
  }

  /** Puts files in force. */
  interface Loader {
    void load() throws IOException, GeneralSecurityException;
  }

  /** Looks at the files and reads them again if they have changed. */
  void check() {
    int content = content();
    if (content == lastContent) {
      return;
    }
    lastContent = content;
    try {
      loader.load();
      EventLog.log(LogEvent.TLS_RELOADED, files);
    } catch (IOException | GeneralSecurityException e) {
      EventLog.log(LogEvent.TLS_UNUSABLE, files, e.getMessage());
    }
  }

  private int content() {
    int hash = 1;
    for (Path file : files) {
      hash = 31 * hash + content(file);
    }
    return hash;
  }

  private static int content(Path file) {
    try {
      return Arrays.hashCode(Files.readAllBytes(file));
    } catch (IOException e) {
      return 0;
    }
  }
}
