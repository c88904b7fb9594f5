package org.ragworttide.gateway.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON, with or without comments, into a tree. It does not use Jackson's object mapper:
 * creating one takes longer than reading all documents that the gateway needs to start, which would
 * delay the first response of a restarted VM.
 *
 * <p>Stateless, safe for use by any thread.
 */
public final class JsonTree {
  /** Deepest nesting that is accepted; configurations have five levels. */
  private static final int MAX_DEPTH = 64;

  private static final JsonFactory JSON =
      JsonFactory.builder()
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .build();

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads a value.
   *
   * @param text JSON in UTF-8
   * @return the value, a missing node if the text is empty
   * @throws IOException if the text is not JSON or nested too deeply
   */
  public static JsonNode read(byte[] text) throws IOException {
    try (JsonParser parser = JSON.createParser(text)) {
      return parser.nextToken() == null ? NODES.missingNode() : value(parser);
    }
  }

  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> throw new IOException("unexpected JSON token " + parser.currentToken());
    };
  }

  private static ObjectNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, value(parser));
    }
    return object;
  }

  private static ArrayNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }
}
