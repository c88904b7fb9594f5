package org.ragworttide.document;

import java.util.List;

/**
 * Operators' validated configuration of the whole fleet at one version.
 *
 * <p>Invariant: an instance that a reader returned has passed the schema and all cross-checks.
 * Immutable, safe for use by any thread.
 *
 * @param version positive, increases with every accepted change
 * @param fleet settings of all daemons
 * @param zones availability zones and whether they accept new requests
 * @param organisations organisations with rate and burst
 * @param keys digests of callers' keys
 * @param upstreams model engines and plain services
 * @param routes paths that callers may request
 * @param orders desired state of engines; empty if the document has no such section
 */
public record ConfigurationDocument(
    long version,
    Fleet fleet,
    List<Zone> zones,
    List<Organisation> organisations,
    List<Key> keys,
    List<Upstream> upstreams,
    List<Route> routes,
    OrdersSection orders) {

  /** Copies the lists. */
  public ConfigurationDocument {
    zones = List.copyOf(zones);
    organisations = List.copyOf(organisations);
    keys = List.copyOf(keys);
    upstreams = List.copyOf(upstreams);
    routes = List.copyOf(routes);
    orders = orders == null ? OrdersSection.NONE : orders;
  }

  /** Creates a document without orders to engines. */
  public ConfigurationDocument(
      long version,
      Fleet fleet,
      List<Zone> zones,
      List<Organisation> organisations,
      List<Key> keys,
      List<Upstream> upstreams,
      List<Route> routes) {
    this(version, fleet, zones, organisations, keys, upstreams, routes, OrdersSection.NONE);
  }

  /**
   * Settings of all daemons.
   *
   * @param name the fleet's name, which peers must share
   * @param maxEntryVms maximum number of entry VMs that run at one time, replacements included
   * @param loadMultiple maximum load of an engine, as a multiple of the mean, above 1
   * @param claimRetentionSeconds how long a caller may repeat the key of a non-idempotent request
   */
  public record Fleet(
      String name, int maxEntryVms, double loadMultiple, int claimRetentionSeconds) {}

  /** Whether a zone or an upstream accepts new requests. */
  public enum Service {
    /** Accepts new requests. */
    IN,
    /** Finishes running requests and accepts no new ones. */
    OUT
  }

  /**
   * An availability zone.
   *
   * @param id the zone's name
   * @param service whether it accepts new requests
   */
  public record Zone(String id, Service service) {}

  /**
   * Organisation, whose rate and burst limits apply fleet-wide.
   *
   * @param id the organisation's name
   * @param ratePerSecond requests per second
   * @param burst requests that may arrive at once
   */
  public record Organisation(String id, double ratePerSecond, double burst) {}

  /**
   * Digest of a caller's key; the document never holds the key itself.
   *
   * @param organisation organisation of the callers that hold it
   * @param sha256 lower-case hexadecimal SHA-256 of the key
   * @param withdrawn whether it is revoked
   */
  public record Key(String organisation, String sha256, boolean withdrawn) {}

  /** Kind of an upstream. */
  public enum UpstreamKind {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
  }

  /**
   * A model engine or a plain service.
   *
   * @param id the upstream's name
   * @param kind engine or service
   * @param zone its availability zone
   * @param address host and port
   * @param models models it serves; empty for a service
   * @param service whether it accepts new requests
   * @param coldConcurrency maximum number of requests in flight, fleet-wide, while it is cold
   */
  public record Upstream(
      String id,
      UpstreamKind kind,
      String zone,
      String address,
      List<String> models,
      Service service,
      int coldConcurrency) {

    /** Copies the models. */
    public Upstream {
      models = models == null ? List.of() : List.copyOf(models);
    }
  }

  /** Kind of the requests on a route. */
  public enum RouteKind {
    /** Chat completions, sent to an engine that serves the requested model. */
    CHAT,
    /** Requests to a plain service. */
    SERVICE
  }

  /**
   * Path that callers may request, and how its requests are routed.
   *
   * @param id the route's name
   * @param path exact path of the request
   * @param kind chat or service
   * @param open whether requests need no key
   * @param idempotent whether the daemon may send a request again
   * @param windowMillis how long the caller waits, in milliseconds
   * @param upstreams upstreams that serve it; empty for chat: all engines with the model
   */
  public record Route(
      String id,
      String path,
      RouteKind kind,
      boolean open,
      boolean idempotent,
      long windowMillis,
      List<String> upstreams) {

    /** Copies the upstreams. */
    public Route {
      upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
    }
  }
}
