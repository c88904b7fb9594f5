package org.ragworttide.document;

import java.util.List;

/**
 * The operators' validated configuration of the whole fleet at one version.
 *
 * <p>Invariant: an instance that came out of a reader has passed the schema and all cross-checks.
 * Immutable, safe for use by any thread.
 *
 * @param version grows with every accepted change, positive
 * @param fleet settings that hold for all daemons
 * @param zones availability zones and whether they take new work
 * @param organisations organisations with rate and burst
 * @param keys digests of callers' keys
 * @param upstreams model engines and plain services
 * @param routes what callers may ask for
 * @param orders what engines are ordered to be; empty where the document says nothing of it
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

  /** Creates a document that orders no engine. */
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
   * Settings that hold for all daemons.
   *
   * @param name the fleet's name, which peers must share
   * @param maxEntryVms most entry VMs that ever run at one time, replacements included
   * @param loadMultiple most load an engine carries, as a multiple of the mean, above 1
   * @param claimRetentionSeconds how long the key of a non-idempotent request may return
   */
  public record Fleet(
      String name, int maxEntryVms, double loadMultiple, int claimRetentionSeconds) {}

  /** Whether a zone or an upstream takes new work. */
  public enum Service {
    /** Takes new work. */
    IN,
    /** Finishes its work and takes none. */
    OUT
  }

  /**
   * An availability zone.
   *
   * @param id the zone's name
   * @param service whether it takes new work
   */
  public record Zone(String id, Service service) {}

  /**
   * An organisation, whose rate and burst count fleet-wide.
   *
   * @param id the organisation's name
   * @param ratePerSecond requests a second
   * @param burst requests at once
   */
  public record Organisation(String id, double ratePerSecond, double burst) {}

  /**
   * A caller's key, known by its digest only.
   *
   * @param organisation whose requests it admits
   * @param sha256 lower-case hexadecimal SHA-256 of the key
   * @param withdrawn whether it has stopped working
   */
  public record Key(String organisation, String sha256, boolean withdrawn) {}

  /** What an upstream is. */
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
   * @param service whether it takes new work
   * @param coldConcurrency most requests in flight, fleet-wide, while it is cold
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

  /** What a route carries. */
  public enum RouteKind {
    /** Chat completions, sent to an engine that serves the asked model. */
    CHAT,
    /** Requests to a plain service. */
    SERVICE
  }

  /**
   * What callers may ask for.
   *
   * @param id the route's name
   * @param path exact path of the request
   * @param kind chat or service
   * @param open whether it needs no key
   * @param idempotent whether a request may be sent again
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
