package org.ragworttide.gateway.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.gateway.model.Route;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 *
 * <p>Immutable, safe for use by any thread.
 */
final class RouteTable {
  private final Map<String, List<Route>> byHost = new HashMap<>();

  RouteTable(List<Route> routes) {
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestPrefixFirst = Comparator.comparingInt(it -> -it.pathPrefix().length());
    byHost.values().forEach(all -> all.sort(longestPrefixFirst));
  }

  Optional<Route> find(String hostHeader, String target) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    for (Route route : byHost.getOrDefault(hostName(hostHeader), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String hostName(String hostHeader) {
    int port = hostHeader.lastIndexOf(':');
    String name = port > hostHeader.lastIndexOf(']') ? hostHeader.substring(0, port) : hostHeader;
    return name.toLowerCase(Locale.ROOT);
  }
}
