package org.ragworttide.document.json;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragworttide.document.Fault;

/** What came of parsing a text as JSON with comments; safe for use by any thread. */
public sealed interface JsonResult {

  /**
   * The text is JSON.
   *
   * @param tree its values
   */
  record Parsed(JsonNode tree) implements JsonResult {}

  /**
   * The text is too large or no JSON.
   *
   * @param fault what is wrong, with line and column where known
   */
  record Malformed(Fault fault) implements JsonResult {}
}
