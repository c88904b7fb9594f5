package org.ragworttide.gateway.upstream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * A response of an upstream to one request, and its bytes, with the headers of {@link
 * org.ragworttide.gateway.PlainHeaderCodec}. The header {@code trace} identifies the response also
 * if it does not have the request's id. Immutable.
 *
 * @param id id of the request that the upstream answers
 * @param status status of the response
 * @param refusal whether it reports that the request has not run
 * @param namesRequest whether it has the request's id
 * @param framing what ends the body
 * @param keepsConnection whether the upstream accepts another request on the connection
 * @param body the whole body
 * @param bytes the bytes on the connection, one per character
 * @param headLength bytes up to the end of the head, with the interim responses before it
 */
record FuzzedResponse(
    String id,
    int status,
    boolean refusal,
    boolean namesRequest,
    Framing framing,
    boolean keepsConnection,
    String body,
    String bytes,
    int headLength) {

  /** Ways in which the end of a body is marked. */
  enum Framing {
    NO_BODY,
    LENGTH,
    CHUNKS,
    END_OF_CONNECTION
  }

  private static final List<String> SUCCESSES = List.of("200 OK", "201 Created", "206 ");
  private static final List<String> FAILURES =
      List.of("500 Internal Error", "502 Bad", "504 ", "404 Not Found", "503 Busy", "429 Many");
  private static final List<String> REFUSALS =
      List.of("503 Service Unavailable", "429 Too Many Requests", "421 Misdirected", "400 ");
  private static final List<String> WITHOUT_BODY = List.of("204 No Content", "304 Not Modified");
  private static final List<String> OTHER_FIELDS =
      List.of(
          "Date: Sat, 05 Dec 2026 11:39:27 GMT",
          "Keep-Alive: timeout=5",
          "Server-Load: 3,0,8",
          "X-Folded: first\r\n second",
          "X-Empty:",
          "X-Long: " + "long ".repeat(60));

  /** A body that contains the bytes of a response. */
  private static final String QUOTED_RESPONSE =
      "HTTP/1.1 200 OK\r\nid: quoted\r\nreceipt: x\r\nContent-Length: 2\r\n\r\nab";

  private static final int LONG_BODY_BYTES = 3_000;

  /** Length that the response to a HEAD request announces; its body is not sent. */
  private static final int HEAD_LENGTH = 77;

  /**
   * Returns a random response to a request.
   *
   * @param headRequest whether it is a HEAD request
   * @param refusalsHaveIds whether a refusal has the request's id
   */
  static FuzzedResponse random(
      Random random, String id, boolean headRequest, boolean refusalsHaveIds) {
    int kind = random.nextInt(10);
    final boolean refusal = kind == 6 || kind == 7;
    final String status = pick(random, statusLines(kind));
    Framing announced = random.nextBoolean() ? Framing.LENGTH : Framing.CHUNKS;
    if (random.nextInt(8) == 0) {
      announced = Framing.END_OF_CONNECTION;
    }
    Framing framing = headRequest || kind == 8 ? Framing.NO_BODY : announced;
    final String body = framing == Framing.NO_BODY ? "" : body(random);
    boolean namesRequest = !refusal || refusalsHaveIds;
    boolean keeps = framing != Framing.END_OF_CONNECTION && random.nextInt(12) > 0;

    List<String> fields = new ArrayList<>(List.of("trace: " + id));
    fields.add(refusal ? "not-run: 1" : "receipt: x-" + id);
    if (namesRequest) {
      fields.add("id: " + id);
    }
    if (!keeps && (framing != Framing.END_OF_CONNECTION || random.nextBoolean())) {
      fields.add("Connection: close");
    }
    if (kind != 8 && announced == Framing.LENGTH) {
      fields.add("Content-Length: " + (headRequest ? HEAD_LENGTH : body.length()));
    } else if (kind != 8 && announced == Framing.CHUNKS) {
      fields.add("Transfer-Encoding: chunked");
    }
    while (random.nextInt(3) == 0) {
      fields.add(pick(random, OTHER_FIELDS));
    }
    Collections.shuffle(fields, random);
    String head = interim(random, id) + "HTTP/1.1 " + status + "\r\n" + String.join("\r\n", fields);
    head += "\r\n\r\n";
    return new FuzzedResponse(
        id,
        Integer.parseInt(status.substring(0, 3)),
        refusal,
        namesRequest,
        framing,
        keeps,
        body,
        head + (framing == Framing.CHUNKS ? chunks(random, body) : body),
        head.length());
  }

  private static List<String> statusLines(int kind) {
    return switch (kind) {
      case 0, 1, 2, 9 -> SUCCESSES;
      case 3, 4, 5 -> FAILURES;
      case 6, 7 -> REFUSALS;
      default -> WITHOUT_BODY;
    };
  }

  private static String interim(Random random, String id) {
    StringBuilder bytes = new StringBuilder();
    while (random.nextInt(8) == 0) {
      String field = random.nextBoolean() ? "" : "id: " + id + "\r\n";
      bytes.append("HTTP/1.1 103 Early Hints\r\n").append(field).append("\r\n");
    }
    return bytes.toString();
  }

  private static String body(Random random) {
    return switch (random.nextInt(8)) {
      case 0 -> "";
      case 1 -> letters(random, random.nextInt(LONG_BODY_BYTES));
      case 2 -> letters(random, random.nextInt(9)) + QUOTED_RESPONSE;
      case 3 -> "0\r\n\r\n" + letters(random, 5) + "\r\n";
      default -> letters(random, 1 + random.nextInt(40));
    };
  }

  private static String letters(Random random, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append((char) ('a' + random.nextInt(26)));
    }
    return text.toString();
  }

  private static String chunks(Random random, String body) {
    StringBuilder chunks = new StringBuilder();
    int start = 0;
    while (start < body.length()) {
      int length = 1 + random.nextInt(body.length() - start);
      chunks.append(Integer.toHexString(length)).append(random.nextInt(4) == 0 ? ";a=b" : "");
      chunks.append("\r\n").append(body, start, start + length).append("\r\n");
      start += length;
    }
    String trailers = random.nextInt(4) == 0 ? "X-Trailer: t\r\n" : "";
    return chunks.append("0\r\n").append(trailers).append("\r\n").toString();
  }

  private static <T> T pick(Random random, List<T> list) {
    return list.get(random.nextInt(list.size()));
  }
}
