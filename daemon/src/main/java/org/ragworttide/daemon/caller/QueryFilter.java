package org.ragworttide.daemon.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Removes query parameters that may carry an API key; stateless, safe for use by any thread. */
final class QueryFilter {
  private static final Set<String> KEY_PARAMETERS =
      Set.of("key", "api_key", "api-key", "apikey", "access_token");

  private QueryFilter() {}

  /**
   * Returns the query without the parameters that are named like an API key or contain the caller's
   * key, empty if the query is malformed.
   */
  static Optional<String> withoutKeys(String query, String key) {
    List<String> kept = new ArrayList<>();
    for (String parameter : query.split("&")) {
      Optional<String> decoded = decode(parameter);
      if (decoded.isEmpty()) {
        return Optional.empty();
      }
      if (!carriesKey(decoded.get(), key)) {
        kept.add(parameter);
      }
    }
    return Optional.of(String.join("&", kept));
  }

  private static boolean carriesKey(String parameter, String key) {
    int end = parameter.indexOf('=');
    String name = end < 0 ? parameter : parameter.substring(0, end);
    return KEY_PARAMETERS.contains(name.strip().toLowerCase(Locale.ROOT))
        || !key.isEmpty() && parameter.contains(key);
  }

  private static Optional<String> decode(String parameter) {
    try {
      return Optional.of(URLDecoder.decode(parameter, StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
