package org.ragworttide.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.gateway.GatewaySettings;
import org.ragworttide.gateway.ZoneSettings;

/**
 * Contents of a settings file.
 *
 * <p>Invariant: the numbers are in their ranges and the store's address is well formed; {@link
 * #gatewaySettings} checks the other addresses. Immutable, safe for use by any thread.
 *
 * @param vm this VM's name
 * @param zone its availability zone
 * @param listen the addresses on which it listens, each IP:PORT
 * @param peers the settings for the discovery of peers
 * @param store the address of the platform's store, IP:PORT
 * @param retries the fleet's limit on retries
 * @param graceSeconds the grace period: the longest duration of a stop
 * @param zones the ways between availability zones
 */
public record SettingsDocument(
    String vm,
    String zone,
    Listen listen,
    Peers peers,
    String store,
    Retries retries,
    double graceSeconds,
    ZoneSettings zones) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Checks the ranges. */
  public SettingsDocument {
    if (!(graceSeconds > 0)) {
      throw new IllegalArgumentException("graceSeconds must be positive");
    }
    address(store);
  }

  /**
   * Addresses on which the gateway listens.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param callers the address for callers
   * @param readiness the address for the platform's readiness checks
   * @param metrics the address for metrics scrapers; metrics are not served if it is absent
   */
  public record Listen(String callers, String readiness, String metrics) {}

  /**
   * Settings for the discovery of peers.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param listen the address on which this VM listens for its peers, IP:PORT; the port is the same
   *     on all VMs
   * @param seeds addresses of some VMs, of which only the IP is used
   */
  public record Peers(String listen, List<String> seeds) {

    /** Copies the seeds. */
    public Peers {
      seeds = List.copyOf(seeds);
    }

    private List<InetSocketAddress> seedAddresses() {
      int port = address(listen).getPort();
      return seeds.stream()
          .map(seed -> new InetSocketAddress(address(seed).getAddress(), port))
          .toList();
    }
  }

  /**
   * The fleet's limit on retries of a service.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param ratio allowed retries for each request
   * @param slack allowed retries beyond the ratio, over all VMs
   */
  public record Retries(double ratio, int slack) {

    /** Checks the ranges. */
    public Retries {
      if (!(ratio >= 0 && ratio <= 1) || slack < 0) {
        throw new IllegalArgumentException(
            "retries.ratio must be from 0 to 1 and retries.slack must not be negative");
      }
    }
  }

  /** Returns the address of the platform's store. */
  public InetSocketAddress storeAddress() {
    return address(store);
  }

  /**
   * Returns the gateway's settings.
   *
   * @throws IllegalArgumentException if an address is not of the form IP:PORT
   */
  public GatewaySettings gatewaySettings() {
    return new GatewaySettings(
        new VmId(vm),
        new ZoneId(zone),
        address(listen.callers()),
        address(listen.readiness()),
        address(peers.listen()),
        peers.seedAddresses(),
        Optional.ofNullable(listen.metrics()).map(SettingsDocument::address),
        retries.ratio(),
        retries.slack(),
        (long) (graceSeconds * MILLIS_PER_SECOND),
        zones);
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
      throw new IllegalArgumentException("'" + text + "' is not of the form IP:PORT");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
