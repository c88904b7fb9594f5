package org.ragworttide.daemon.caller;

import java.util.Optional;
import java.util.function.Supplier;
import org.ragworttide.document.ConfigurationDocument;

/**
 * Keeps the index of the configuration in force.
 *
 * <p>Invariant: the index returned belongs to the document that the supplier gave. Safe for use by
 * any thread.
 */
final class ConfigurationIndexes {
  private final Supplier<ConfigurationDocument> configuration;
  private volatile ConfigurationIndex latest;

  ConfigurationIndexes(Supplier<ConfigurationDocument> configuration) {
    this.configuration = configuration;
  }

  /** Returns the index in force, empty as long as there is no configuration. */
  Optional<ConfigurationIndex> current() {
    ConfigurationDocument document = configuration.get();
    if (document == null) {
      return Optional.empty();
    }
    ConfigurationIndex index = latest;
    if (index == null || index.document() != document) {
      index = new ConfigurationIndex(document);
      latest = index;
    }
    return Optional.of(index);
  }
}
