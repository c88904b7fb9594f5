package org.ragworttide.gateway.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.gateway.GatewaySettings;

/**
 * A settings file as written.
 *
 * <p>Invariant: every setting is present and in its range. Immutable, safe for use by any thread.
 *
 * @param vm this VM's name
 * @param zone its availability zone
 * @param listen where it listens, each IP:PORT
 * @param peers how VMs find each other
 * @param store the address of the platform's store, IP:PORT
 * @param retries the fleet's bound on retries
 * @param graceSeconds how long a stop may take
 */
public record SettingsDocument(
    String vm,
    String zone,
    Listen listen,
    Peers peers,
    String store,
    Retries retries,
    double graceSeconds) {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Checks the ranges. */
  public SettingsDocument {
    if (!(graceSeconds > 0)) {
      throw new IllegalArgumentException("graceSeconds must be positive");
    }
    address(store);
  }

  /**
   * Where the gateway listens.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param callers for callers
   * @param readiness for the platform's question whether the VM takes callers
   * @param metrics for scrapers; not served if absent
   */
  public record Listen(String callers, String readiness, String metrics) {}

  /**
   * How VMs find each other.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param listen where this VM listens for others, IP:PORT; the port is the same on all VMs
   * @param seeds addresses of some VMs, of which only the IP counts
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
   * The fleet's bound on retries of a service.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param ratio retries for each request
   * @param slack retries beyond the ratio, over all VMs
   */
  public record Retries(double ratio, int slack) {

    /** Checks the ranges. */
    public Retries {
      if (!(ratio >= 0 && ratio <= 1) || slack < 0) {
        throw new IllegalArgumentException("retries must be in range");
      }
    }
  }

  /** Returns the address of the platform's store. */
  public InetSocketAddress storeAddress() {
    return address(store);
  }

  /** Returns the settings of the gateway. */
  public GatewaySettings gateway() {
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
        (long) (graceSeconds * MILLIS_PER_SECOND));
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
      throw new IllegalArgumentException("'" + text + "' is not IP:PORT");
    }
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
