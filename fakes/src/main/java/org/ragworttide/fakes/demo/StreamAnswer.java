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
 * A streamed answer as the caller got it; immutable.
 *
 * @param status the HTTP status, 0 when there was none
 * @param headers the answer's headers
 * @param text the content of all parts
 * @param end how it ended
 * @param detail the problem's text or the reason it was cut
 */
record StreamAnswer(int status, HttpHeaders headers, String text, End end, String detail) {
  private static final JsonMapper MAPPER = new JsonMapper();
  private static final String DATA = "data: ";

  /** How a stream ended. */
  enum End {
    /** With the mark that it is whole. */
    WHOLE,
    /** With a refusal or an explicit error event. */
    PROBLEM,
    /** Without either. */
    CUT
  }

  boolean notRun() {
    return end == End.PROBLEM && detail.contains("not-run");
  }

  /** Tells whether the refusal names a time to come back. */
  boolean retryLater() {
    return headers.firstValue("Retry-After").isPresent();
  }

  boolean wholeAs(String expected) {
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
