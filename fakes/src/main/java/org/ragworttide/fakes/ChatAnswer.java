package org.ragworttide.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.zip.CRC32;

/**
 * Answer of a fake engine, which is the same on every engine for the same messages.
 *
 * <p>Invariant: depends on the messages and the number of chunks only, so that a stream can be
 * resumed on another engine and tests detect an answer to another request. Immutable, safe for use
 * by any thread.
 *
 * @param model the requested model
 * @param digest digest of the messages
 * @param chunks number of content chunks
 */
public record ChatAnswer(String model, String digest, int chunks) {

  /** Returns the answer to a request's JSON. */
  public static ChatAnswer to(byte[] request, int defaultChunks) {
    JsonNode tree = Json.parse(request);
    return new ChatAnswer(
        tree.path("model").asText(),
        digest(tree.path("messages")),
        tree.path("max_tokens").asInt(defaultChunks));
  }

  /** Returns a digest of the first message, which identifies the chat's prompt prefix. */
  static String prefix(byte[] request) {
    return digest(Json.parse(request).path("messages").path(0));
  }

  private static String digest(JsonNode node) {
    CRC32 crc = new CRC32();
    crc.update(node.toString().getBytes(StandardCharsets.UTF_8));
    return "%08x".formatted(crc.getValue());
  }

  /** Returns one content chunk, as {@code w0-1a2b3c4d} and a space. */
  public String content(int index) {
    return "w" + index + "-" + digest + " ";
  }

  /** Returns the whole text of the answer. */
  public String text() {
    return IntStream.range(0, chunks).mapToObj(this::content).collect(Collectors.joining());
  }

  String event(int index) {
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    choice.put("delta", Map.of("content", content(index)));
    choice.put("finish_reason", index == chunks - 1 ? "stop" : null);
    return "data: "
        + Json.text(new Chunk("chat.completion.chunk", model, List.of(choice)))
        + "\n\n";
  }

  byte[] whole() {
    Map<String, Object> choice = new LinkedHashMap<>();
    choice.put("index", 0);
    choice.put("message", Map.of("role", "assistant", "content", text()));
    choice.put("finish_reason", "stop");
    return Json.bytes(new Chunk("chat.completion", model, List.of(choice)));
  }

  private record Chunk(String object, String model, List<Map<String, Object>> choices) {}
}
