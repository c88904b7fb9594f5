package org.ragworttide.daemon.caller;

import java.util.Optional;
import java.util.function.Supplier;
import org.ragworttide.document.ConfigurationDocument;

/**
 * Caches the index of the configuration in force.
 *
 * <p>Invariant: the returned index belongs to the document that the supplier returned. Safe for use
 * by any thread.
 */
final class ConfigurationIndexCache {
  private final Supplier<ConfigurationDocument> configuration;
  private volatile ConfigurationIndex latest;

  ConfigurationIndexCache(Supplier<ConfigurationDocument> configuration) {
    this.configuration = configuration;
  }

  /** Returns the index of the configuration in force, empty until there is a configuration. */
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
