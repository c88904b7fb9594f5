package org.ragworttide.document.json;

import com.fasterxml.jackson.databind.JsonNode;
import org.ragworttide.document.Fault;

/** Result of parsing a text as JSON with comments; immutable, safe for use by any thread. */
public sealed interface JsonResult {

  /**
   * The text is JSON.
   *
   * @param tree the parsed tree
   */
  record Parsed(JsonNode tree) implements JsonResult {}

  /**
   * The text is too large or is not JSON.
   *
   * @param fault what is wrong, with line and column where known
   */
  record Malformed(Fault fault) implements JsonResult {}
}
