package org.ragworttide.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.ragworttide.document.json.CommentedJson;
import org.ragworttide.document.json.JsonResult;
import org.ragworttide.document.json.SchemaChecker;

/**
 * Reads configuration documents: JSON with comments, validated by the schema and by cross-checks.
 *
 * <p>Invariant: only a document without any fault is accepted. Stateless, safe for use by any
 * thread.
 */
public final class DocumentReader {

  /** Maximum size of a document. */
  public static final int MAX_DOCUMENT_BYTES = 1_048_576;

  private static final SchemaChecker SCHEMA =
      SchemaChecker.ofResource("/org/ragworttide/document/configuration.schema.json");

  private DocumentReader() {}

  /** Reads a document from its UTF-8 bytes. */
  public static DocumentResult read(byte[] bytes) {
    return switch (CommentedJson.parse(bytes, MAX_DOCUMENT_BYTES)) {
      case JsonResult.Malformed malformed -> new DocumentResult.Refused(List.of(malformed.fault()));
      case JsonResult.Parsed parsed -> check(parsed.tree());
    };
  }

  private static DocumentResult check(JsonNode tree) {
    List<Fault> faults = new ArrayList<>(SCHEMA.check(tree));
    faults.addAll(CrossChecks.check(tree));
    return faults.isEmpty() ? map(tree) : new DocumentResult.Refused(faults);
  }

  private static DocumentResult map(JsonNode tree) {
    try {
      return new DocumentResult.Accepted(CommentedJson.map(tree, ConfigurationDocument.class));
    } catch (JsonProcessingException e) {
      return new DocumentResult.Refused(List.of(new Fault("", e.getOriginalMessage())));
    }
  }
}
