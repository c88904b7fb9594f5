package org.ragworttide.fakes.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.UncheckedIOException;
import java.net.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Streamed answer that the caller received; immutable.
 *
 * @param status the HTTP status, 0 if there was none
 * @param headers the answer's headers
 * @param text the content of all parts
 * @param end the kind of its end
 * @param detail the problem's text or the reason for the cut
 */
record StreamAnswer(int status, HttpHeaders headers, String text, End end, String detail) {
  private static final JsonMapper MAPPER = new JsonMapper();
  private static final String DATA = "data: ";

  /** Kind of the end of a stream. */
  enum End {
    /** The stream ended with the end mark. */
    WHOLE,
    /** The stream ended with a refusal or an explicit error event. */
    PROBLEM,
    /** The stream ended without either. */
    CUT
  }

  boolean isNotRun() {
    return end == End.PROBLEM && detail.contains("not-run");
  }

  /** Returns whether the refusal has a {@code Retry-After} header. */
  boolean hasRetryAfter() {
    return headers.firstValue("Retry-After").isPresent();
  }

  boolean isWholeWith(String expected) {
    return status == 200 && end == End.WHOLE && text.equals(expected);
  }

  String summary() {
    return status + " " + end + " after " + text.length() + " characters" + problem();
  }

  private String problem() {
    JsonNode json = detail.startsWith("{") ? parse(detail) : MAPPER.missingNode();
    return json.has("code")
        ? ", " + json.path("code").asText() + " " + json.path("outcome").asText()
        : detail.isEmpty() ? "" : ", " + detail;
  }

  static StreamAnswer none(String reason) {
    return new StreamAnswer(
        0, HttpHeaders.of(Map.of(), (name, value) -> true), "", End.CUT, reason);
  }

  static StreamAnswer read(int status, HttpHeaders headers, Stream<String> lines) {
    StringBuilder text = new StringBuilder();
    StringBuilder problem = new StringBuilder();
    boolean done = false;
    try {
      for (Iterator<String> it = lines.iterator(); it.hasNext(); ) {
        String line = it.next();
        done = done || line.equals("data: [DONE]");
        append(status, line, text, problem);
      }
    } catch (UncheckedIOException e) {
      return new StreamAnswer(status, headers, text.toString(), End.CUT, problem + e.getMessage());
    }
    End end = done && problem.isEmpty() ? End.WHOLE : problem.isEmpty() ? End.CUT : End.PROBLEM;
    return new StreamAnswer(status, headers, text.toString(), end, problem.toString());
  }

  private static void append(int status, String line, StringBuilder text, StringBuilder problem) {
    if (status != 200) {
      problem.append(line);
    } else if (line.startsWith(DATA) && line.startsWith("{", DATA.length())) {
      JsonNode event = parse(line.substring(DATA.length()));
      if (event.has("choices")) {
        text.append(event.path("choices").path(0).path("delta").path("content").asText(""));
      } else {
        problem.append(event);
      }
    }
  }

  private static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      return MAPPER.createObjectNode().put("malformed", json);
    }
  }
}
