package org.ragworttide.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Fields of a chat's body that the daemon evaluates, or the reason why it is malformed; immutable,
 * safe for use by any thread.
 */
sealed interface ChatBody {

  /**
   * The body is a chat.
   *
   * @param model the requested model
   * @param stream whether the caller requests the answer as a stream of events
   */
  record Valid(String model, boolean stream) implements ChatBody {}

  /**
   * The body is not a chat.
   *
   * @param detail description of the error, for the caller
   */
  record Malformed(String detail) implements ChatBody {}

  /** Parses and checks the body of a chat. */
  static ChatBody read(byte[] body) {
    try {
      return check(Reader.MAPPER.readTree(Reader.decodeUtf8(body)));
    } catch (CharacterCodingException e) {
      return new Malformed("the body is not UTF-8");
    } catch (JsonProcessingException e) {
      return new Malformed("the body is not valid JSON");
    }
  }

  private static ChatBody check(JsonNode node) {
    if (!node.isObject()) {
      return new Malformed("the body must be a JSON object");
    }
    JsonNode model = node.path("model");
    if (!model.isTextual() || model.textValue().isBlank()) {
      return new Malformed("model must be a text");
    }
    if (!node.path("messages").isArray()) {
      return new Malformed("messages must be an array");
    }
    JsonNode stream = node.path("stream");
    if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
      return new Malformed("stream must be true or false");
    }
    return new Valid(model.textValue(), stream.asBoolean(false));
  }

  /** Strict JSON parser, which rejects duplicate fields and trailing tokens; stateless. */
  final class Reader {
    private static final JsonMapper MAPPER =
        JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Reader() {}

    private static String decodeUtf8(byte[] body) throws CharacterCodingException {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
    }
  }
}
