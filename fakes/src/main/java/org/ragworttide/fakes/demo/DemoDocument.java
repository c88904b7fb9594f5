package org.ragworttide.fakes.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.ragworttide.document.json.CommentedJson;
import org.ragworttide.document.json.JsonResult;

/**
 * The demo's configuration document, which the demo changes in steps as an operator would.
 *
 * <p>Invariant: each change raises the version by one. Used by one thread.
 */
final class DemoDocument {
  private static final int MAX_BYTES = 1 << 20;

  private final ObjectNode root;

  private DemoDocument(ObjectNode root) {
    this.root = root;
  }

  static DemoDocument load() throws IOException {
    try (InputStream in = DemoDocument.class.getResourceAsStream("/demo/configuration.json")) {
      return switch (CommentedJson.parse(in.readAllBytes(), MAX_BYTES)) {
        case JsonResult.Parsed parsed -> new DemoDocument((ObjectNode) parsed.tree());
        case JsonResult.Malformed malformed ->
            throw new IllegalStateException(malformed.fault().toString());
      };
    }
  }

  long version() {
    return root.path("version").longValue();
  }

  byte[] bytes() {
    return root.toPrettyString().getBytes(StandardCharsets.UTF_8);
  }

  /** Sets an upstream's port, before the first publication. */
  void setPort(String upstream, int port) {
    entry("upstreams", "id", upstream).put("address", "127.0.0.1:" + port);
  }

  void setService(String zone, String service) {
    entry("zones", "id", zone).put("service", service);
    raiseVersion();
  }

  void withdraw(String key) {
    entry("keys", "sha256", sha256(key)).put("withdrawn", true);
    raiseVersion();
  }

  double rate(String organisation) {
    return entry("organisations", "id", organisation).path("ratePerSecond").doubleValue();
  }

  double burst(String organisation) {
    return entry("organisations", "id", organisation).path("burst").doubleValue();
  }

  private void raiseVersion() {
    root.put("version", version() + 1);
  }

  private ObjectNode entry(String list, String name, String value) {
    for (JsonNode entry : root.path(list)) {
      if (entry.path(name).asText().equals(value)) {
        return (ObjectNode) entry;
      }
    }
    throw new IllegalArgumentException("no " + value + " among " + list);
  }

  private static String sha256(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
