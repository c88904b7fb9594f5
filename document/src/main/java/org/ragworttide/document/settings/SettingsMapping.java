package org.ragworttide.document.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.document.settings.DaemonSettings.Address;

/** Maps a validated tree to settings and sets the defaults; stateless. */
final class SettingsMapping {
  private static final String DEFAULT_OPERATORS_HOST = "127.0.0.1";
  private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
  private static final int DEFAULT_MAX_BODY_BYTES = 1_048_576;
  private static final long DEFAULT_IDLE_MILLIS = 60_000;
  private static final long DEFAULT_STREAM_STALL_MILLIS = 30_000;
  private static final int DEFAULT_CONNECT_MILLIS = 1_000;
  private static final int DEFAULT_MAX_CONNECTIONS = 1_000;
  private static final int DEFAULT_BUDGET_BYTES_PER_SECOND = 4_096;

  private SettingsMapping() {}

  static DaemonSettings map(JsonNode root) {
    return new DaemonSettings(
        new VmId(root.path("vm").textValue()),
        new ZoneId(root.path("zone").textValue()),
        root.path("fleet").textValue(),
        callers(root.path("callers")),
        new DaemonSettings.Operators(address(root.path("operators"))),
        peers(root.path("peers")),
        new DaemonSettings.Platform(address(root.path("platform"))),
        limits(root.path("limits")),
        upstream(root.path("upstream")),
        log(root.path("log")),
        control(root.path("control")));
  }

  private static DaemonSettings.Callers callers(JsonNode node) {
    return new DaemonSettings.Callers(
        address(node),
        tls(node)
            .map(
                tls ->
                    new DaemonSettings.ServerTls(
                        file(tls, "certificateFile"), file(tls, "keyFile"))));
  }

  private static DaemonSettings.Peers peers(JsonNode node) {
    return new DaemonSettings.Peers(
        address(node),
        tls(node)
            .map(
                tls ->
                    new DaemonSettings.MutualTls(
                        file(tls, "certificateFile"), file(tls, "keyFile"), file(tls, "caFile"))),
        seeds(node.path("seeds")));
  }

  private static List<Address> seeds(JsonNode node) {
    List<Address> seeds = new ArrayList<>();
    node.forEach(seed -> seeds.add(address(seed)));
    return seeds;
  }

  private static DaemonSettings.Limits limits(JsonNode node) {
    return new DaemonSettings.Limits(
        node.path("maxHeaderBytes").asInt(DEFAULT_MAX_HEADER_BYTES),
        node.path("maxBodyBytes").asInt(DEFAULT_MAX_BODY_BYTES),
        node.path("idleMillis").asLong(DEFAULT_IDLE_MILLIS),
        node.path("streamStallMillis").asLong(DEFAULT_STREAM_STALL_MILLIS));
  }

  private static DaemonSettings.Upstream upstream(JsonNode node) {
    return new DaemonSettings.Upstream(
        node.path("connectMillis").asInt(DEFAULT_CONNECT_MILLIS),
        node.path("maxConnections").asInt(DEFAULT_MAX_CONNECTIONS),
        tls(node).map(tls -> new DaemonSettings.ClientTls(file(tls, "caFile"))));
  }

  private static DaemonSettings.Log log(JsonNode node) {
    return new DaemonSettings.Log(
        DaemonSettings.LogFormat.valueOf(upper(node.path("format").asText("text"))),
        DaemonSettings.LogLevel.valueOf(upper(node.path("level").asText("info"))));
  }

  private static DaemonSettings.Control control(JsonNode node) {
    return new DaemonSettings.Control(
        node.path("budgetBytesPerSecond").asInt(DEFAULT_BUDGET_BYTES_PER_SECOND));
  }

  private static Address address(JsonNode node) {
    return new Address(
        node.path("host").asText(DEFAULT_OPERATORS_HOST), node.path("port").intValue());
  }

  private static Optional<JsonNode> tls(JsonNode node) {
    return node.has("tls") ? Optional.of(node.path("tls")) : Optional.empty();
  }

  private static Path file(JsonNode node, String name) {
    return Path.of(node.path(name).textValue());
  }

  private static String upper(String text) {
    return text.toUpperCase(Locale.ROOT);
  }
}
