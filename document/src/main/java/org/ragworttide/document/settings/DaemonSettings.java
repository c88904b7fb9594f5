package org.ragworttide.document.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * The settings of one daemon, read once at its start.
 *
 * <p>Invariant: an instance that came out of the reader has passed the schema. Immutable, safe for
 * use by any thread.
 *
 * @param vm the VM's id, as in the platform's VM list
 * @param zone the availability zone the VM stands in
 * @param fleet the fleet's name, which peers and the configuration document must share
 * @param callers the callers' listener
 * @param operators the operators' listener
 * @param peers the peers' listener
 * @param platform where the platform publishes
 * @param limits bounds on what a caller may send and on idleness
 * @param upstream how upstreams are called
 * @param log how events are logged
 * @param control bounds on control traffic
 */
public record DaemonSettings(
    VmId vm,
    ZoneId zone,
    String fleet,
    Callers callers,
    Operators operators,
    Peers peers,
    Platform platform,
    Limits limits,
    Upstream upstream,
    Log log,
    Control control) {

  /**
   * An address.
   *
   * @param host IP number
   * @param port port; 0 lets the machine choose where the schema allows it
   */
  public record Address(String host, int port) {}

  /**
   * A server's certificate chain and its private key, in PEM.
   *
   * @param certificateFile certificate chain
   * @param keyFile private key
   */
  public record ServerTls(Path certificateFile, Path keyFile) {}

  /**
   * Certificate, key and the authority that both ends must be certified by, in PEM.
   *
   * @param certificateFile certificate chain
   * @param keyFile private key
   * @param caFile certificate of the authority
   */
  public record MutualTls(Path certificateFile, Path keyFile, Path caFile) {}

  /**
   * The authority that upstreams must be certified by, in PEM.
   *
   * @param caFile certificate of the authority
   */
  public record ClientTls(Path caFile) {}

  /**
   * The callers' listener.
   *
   * @param address where it listens
   * @param tls empty when the settings say plain
   */
  public record Callers(Address address, Optional<ServerTls> tls) {}

  /**
   * The operators' listener.
   *
   * @param address where it listens
   */
  public record Operators(Address address) {}

  /**
   * The peers' listener.
   *
   * @param address where it listens
   * @param tls empty when the settings say plain
   * @param seeds peers' listeners that are asked for the VM list while there is none
   */
  public record Peers(Address address, Optional<MutualTls> tls, List<Address> seeds) {

    /** Copies the seeds. */
    public Peers {
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * Where the platform publishes.
   *
   * @param address its service
   */
  public record Platform(Address address) {}

  /**
   * Bounds on what a caller may send and on idleness.
   *
   * @param maxHeaderBytes largest header of a request
   * @param maxBodyBytes largest body of a request
   * @param idleMillis longest time a caller's connection may be idle
   * @param streamStallMillis longest time between two parts of an answer
   */
  public record Limits(
      int maxHeaderBytes, int maxBodyBytes, long idleMillis, long streamStallMillis) {}

  /**
   * How upstreams are called.
   *
   * @param connectMillis longest time to connect
   * @param maxConnections most connections to one upstream
   * @param tls empty when the settings say plain
   */
  public record Upstream(int connectMillis, int maxConnections, Optional<ClientTls> tls) {}

  /** The form of log lines. */
  public enum LogFormat {
    /** One line of text an event. */
    TEXT,
    /** One JSON object an event. */
    JSON
  }

  /** The least severe events that are logged. */
  public enum LogLevel {
    /** Errors only. */
    ERROR,
    /** Warnings and above. */
    WARN,
    /** Ordinary events and above. */
    INFO,
    /** Details too. */
    DEBUG
  }

  /**
   * How events are logged.
   *
   * @param format text or JSON lines
   * @param level least severe events that are logged
   */
  public record Log(LogFormat format, LogLevel level) {}

  /**
   * Bounds on control traffic.
   *
   * @param budgetBytesPerSecond most bytes a second sent to peers and the platform
   */
  public record Control(int budgetBytesPerSecond) {}
}
