package org.ragworttide.review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Head of an HTTP message, and its body unless that is read apart.
 *
 * @param first the first line
 * @param headers the headers, with names in lower case
 */
record Message(String first, Map<String, String> headers) {

  /** Reads a head; returns null at the end of the stream. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Message(first, headers);
  }

  /** Returns a header, empty if it is absent. */
  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the method of a request. */
  String method() {
    return first.split(" ")[0];
  }

  /** Returns the path of a request. */
  String path() {
    return first.split(" ")[1];
  }

  /** Returns the status of a response. */
  int status() {
    return Integer.parseInt(first.split(" ")[1]);
  }

  /** Reads the body of a request, or of a response with a length or in chunks. */
  byte[] body(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] part = part(in, body.size());
    while (part.length > 0) {
      body.writeBytes(part);
      part = isChunked() ? part(in, body.size()) : new byte[0];
    }
    return body.toByteArray();
  }

  boolean isChunked() {
    return header("transfer-encoding").equalsIgnoreCase("chunked");
  }

  /** Reads the next chunk, or the whole body if it has a length; empty at its end. */
  byte[] part(InputStream in, int readBefore) throws IOException {
    if (!isChunked()) {
      String length = header("content-length");
      int rest = length.isEmpty() ? 0 : Integer.parseInt(length) - readBefore;
      return exactly(in, rest);
    }
    String size = line(in);
    if (size == null) {
      throw new EOFException("body ended within its chunks");
    }
    byte[] chunk = exactly(in, Integer.parseInt(size.strip(), 16));
    line(in);
    return chunk;
  }

  private static byte[] exactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("body ended after " + bytes.length + " of " + count);
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
