package org.ragworttide.daemon.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Route;

/**
 * Lookup index over one configuration: its keys, and its routes by path.
 *
 * <p>Immutable, safe for use by any thread.
 */
final class ConfigurationIndex {
  private final ConfigurationDocument document;
  private final KeyRing keys;
  private final Map<String, Route> routesByPath = new HashMap<>();

  ConfigurationIndex(ConfigurationDocument document) {
    this.document = document;
    this.keys = new KeyRing(document.keys());
    document.routes().forEach(route -> routesByPath.put(route.path(), route));
  }

  ConfigurationDocument document() {
    return document;
  }

  KeyRing keys() {
    return keys;
  }

  Optional<Route> route(String path) {
    return Optional.ofNullable(routesByPath.get(path));
  }
}
