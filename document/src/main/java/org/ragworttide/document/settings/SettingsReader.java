package org.ragworttide.document.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.ragworttide.document.Fault;
import org.ragworttide.document.json.CommentedJson;
import org.ragworttide.document.json.JsonResult;
import org.ragworttide.document.json.SchemaChecker;

/**
 * Reads a daemon's settings: JSON with comments, validated by the schema, with defaults for absent
 * settings.
 *
 * <p>Invariant: only settings without any fault are accepted. Stateless, safe for use by any
 * thread.
 */
public final class SettingsReader {

  /** Maximum size of a settings file. */
  public static final int MAX_SETTINGS_BYTES = 65_536;

  private static final SchemaChecker SCHEMA =
      SchemaChecker.ofResource("/org/ragworttide/document/settings.schema.json");

  private SettingsReader() {}

  /** Reads settings from their UTF-8 bytes. */
  public static SettingsResult read(byte[] bytes) {
    return switch (CommentedJson.parse(bytes, MAX_SETTINGS_BYTES)) {
      case JsonResult.Malformed malformed -> new SettingsResult.Refused(List.of(malformed.fault()));
      case JsonResult.Parsed parsed -> check(parsed.tree());
    };
  }

  private static SettingsResult check(JsonNode tree) {
    List<Fault> faults = SCHEMA.check(tree);
    return faults.isEmpty()
        ? new SettingsResult.Accepted(SettingsMapping.map(tree))
        : new SettingsResult.Refused(faults);
  }
}
