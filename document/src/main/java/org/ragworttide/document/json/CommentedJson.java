package org.ragworttide.document.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.ragworttide.document.Fault;

/**
 * Parses JSON with line and block comments, up to a maximum size and nesting depth.
 *
 * <p>Invariant: text that is not UTF-8, that repeats a name within an object or that has tokens
 * after its value is malformed. Stateless, safe for use by any thread.
 */
public final class CommentedJson {
  private static final int MAX_DEPTH = 32;

  private static final JsonMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private CommentedJson() {}

  /** Parses UTF-8 bytes; the result is malformed if there are more than {@code maxBytes}. */
  public static JsonResult parse(byte[] bytes, int maxBytes) {
    if (bytes.length > maxBytes) {
      return malformed("has " + bytes.length + " bytes, the limit is " + maxBytes);
    }
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      JsonNode tree = MAPPER.readTree(text);
      return tree.isMissingNode() ? malformed("is empty") : new JsonResult.Parsed(tree);
    } catch (CharacterCodingException e) {
      return malformed("is not UTF-8");
    } catch (JsonProcessingException e) {
      return malformed(describe(e));
    }
  }

  /** Binds a validated tree to a record. */
  public static <T> T map(JsonNode tree, Class<T> type) throws JsonProcessingException {
    return MAPPER.treeToValue(tree, type);
  }

  private static JsonResult malformed(String message) {
    return new JsonResult.Malformed(new Fault("", message));
  }

  private static String describe(JsonProcessingException e) {
    String place =
        e.getLocation() == null
            ? ""
            : "line %d, column %d: "
                .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
    return place + e.getOriginalMessage();
  }
}
