package org.ragworttide.document.settings;

import java.util.List;
import org.ragworttide.document.Fault;

/**
 * Result of reading a daemon's settings.
 *
 * <p>Invariant: refused settings have at least one fault. Immutable, safe for use by any thread.
 */
public sealed interface SettingsResult {

  /**
   * The settings are valid.
   *
   * @param settings the settings, with defaults for absent ones
   */
  record Accepted(DaemonSettings settings) implements SettingsResult {}

  /**
   * The settings must not be used.
   *
   * @param faults every fault found
   */
  record Refused(List<Fault> faults) implements SettingsResult {

    /** Copies the faults. */
    public Refused {
      if (faults.isEmpty()) {
        throw new IllegalArgumentException("refused settings must have at least one fault");
      }
      faults = List.copyOf(faults);
    }
  }
}
