package org.ragworttide.fakes.demo;

import java.nio.charset.StandardCharsets;
import org.ragworttide.fakes.ChatAnswer;

/**
 * Chat that the demo's caller sends; immutable.
 *
 * @param id the chat's id
 * @param text text of the message
 * @param chunks number of parts of the answer
 */
record DemoChat(String id, String text, int chunks) {

  String body() {
    return ("{\"model\":\"repair-8b\",\"stream\":true,\"max_tokens\":%d,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}")
        .formatted(chunks, text);
  }

  /** Returns the whole text of the correct answer. */
  String expected() {
    return ChatAnswer.to(body().getBytes(StandardCharsets.UTF_8), chunks).text();
  }
}
