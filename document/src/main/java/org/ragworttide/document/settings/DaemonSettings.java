package org.ragworttide.document.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Settings of one daemon, read once at its start.
 *
 * <p>Invariant: an instance that came out of the reader has passed the schema. Immutable, safe for
 * use by any thread.
 *
 * @param vm the VM's id, as in the platform's VM list
 * @param zone the availability zone of the VM
 * @param fleet the fleet's name, which peers and the configuration document must share
 * @param callers the callers' listener
 * @param operators the operators' listener
 * @param peers the peers' listener
 * @param platform address of the platform, which publishes documents
 * @param limits limits on request sizes and on idle time
 * @param upstream connections to upstreams
 * @param log format and level of the log
 * @param control limits on control traffic
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
   * Host and port of a listener or a service.
   *
   * @param host IP address
   * @param port port; 0 for any free port, where the schema allows it
   */
  public record Address(String host, int port) {}

  /**
   * Certificate chain and private key of a server, as PEM files.
   *
   * @param certificateFile certificate chain
   * @param keyFile private key
   */
  public record ServerTls(Path certificateFile, Path keyFile) {}

  /**
   * Certificate chain, private key and the authority that must have certified both peers, as PEM
   * files.
   *
   * @param certificateFile certificate chain
   * @param keyFile private key
   * @param caFile certificate of the authority
   */
  public record MutualTls(Path certificateFile, Path keyFile, Path caFile) {}

  /**
   * Authority that must have certified every upstream, as a PEM file.
   *
   * @param caFile certificate of the authority
   */
  public record ClientTls(Path caFile) {}

  /**
   * The callers' listener.
   *
   * @param address its address
   * @param tls empty for plain connections
   */
  public record Callers(Address address, Optional<ServerTls> tls) {}

  /**
   * The operators' listener.
   *
   * @param address its address
   */
  public record Operators(Address address) {}

  /**
   * The peers' listener.
   *
   * @param address its address
   * @param tls empty for plain connections
   * @param seeds peers' listeners that the daemon requests the VM list from while it has none
   */
  public record Peers(Address address, Optional<MutualTls> tls, List<Address> seeds) {

    /** Copies the seeds. */
    public Peers {
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * The platform, which publishes documents.
   *
   * @param address address of its HTTP interface
   */
  public record Platform(Address address) {}

  /**
   * Limits on request sizes and on idle time.
   *
   * @param maxHeaderBytes maximum size of a request's headers
   * @param maxBodyBytes maximum size of a request's body
   * @param idleMillis maximum idle time of a caller's connection
   * @param streamStallMillis maximum time between two parts of an answer
   */
  public record Limits(
      int maxHeaderBytes, int maxBodyBytes, long idleMillis, long streamStallMillis) {}

  /**
   * Connections to upstreams.
   *
   * @param connectMillis connect timeout
   * @param maxConnections maximum number of connections to one upstream
   * @param tls empty for plain connections
   */
  public record Upstream(int connectMillis, int maxConnections, Optional<ClientTls> tls) {}

  /** Format of log lines. */
  public enum LogFormat {
    /** One line of text per event. */
    TEXT,
    /** One JSON object per event. */
    JSON
  }

  /** Minimum severity of the events that the daemon logs. */
  public enum LogLevel {
    /** Errors only. */
    ERROR,
    /** Warnings and above. */
    WARN,
    /** Ordinary events and above. */
    INFO,
    /** All events, including details. */
    DEBUG
  }

  /**
   * Format and level of the log.
   *
   * @param format text or JSON lines
   * @param level minimum severity of the events that the daemon logs
   */
  public record Log(LogFormat format, LogLevel level) {}

  /**
   * Limits on control traffic.
   *
   * @param budgetBytesPerSecond maximum bytes per second sent to peers and the platform
   */
  public record Control(int budgetBytesPerSecond) {}
}
