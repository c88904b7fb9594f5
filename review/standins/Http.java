import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream of bytes. */
final class Http {
  private Http() {}

  /** Start line and headers of a message. */
  record Head(String start, List<String[]> headers) {
    String header(String text) {
      String name = Names.fill(text);
      for (String[] pair : headers) {
        if (pair[0].equalsIgnoreCase(name)) {
          return pair[1];
        }
      }
      return "";
    }

    int status() {
      String[] parts = start.split(" ");
      return parts.length > 1 && parts[1].matches("\\d{3}") ? Integer.parseInt(parts[1]) : -1;
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }
  }

  /** Returns the next head, or null at the end of the stream. */
  static Head readHead(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new IOException("ended within a head");
      }
      bytes.write(next);
      boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
      matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
    }
    String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    List<String[]> headers = new ArrayList<>();
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      if (colon > 0) {
        headers.add(new String[] {lines[i].substring(0, colon), lines[i].substring(colon + 1).strip()});
      }
    }
    return new Head(lines[0], headers);
  }

  /** Receives the bytes of a body as they arrive. */
  interface Sink {
    void add(byte[] bytes, int length) throws IOException;
  }

  /** Reads a body; returns whether it is complete. A response without a length ends with its channel. */
  static boolean readBody(InputStream in, Head head, boolean response, Sink sink) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      while (true) {
        String line = readLine(in);
        int size = Integer.parseInt(line.split(";")[0].strip(), 16);
        if (size == 0) {
          while (!readLine(in).isEmpty()) {
            continue;
          }
          return true;
        }
        copy(in, size, sink);
        readLine(in);
      }
    }
    String length = head.header("Content-Length");
    if (!length.isEmpty()) {
      copy(in, Long.parseLong(length), sink);
      return true;
    }
    if (!response) {
      return true;
    }
    byte[] buffer = new byte[8_192];
    for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
      sink.add(buffer, read);
    }
    return true;
  }

  private static void copy(InputStream in, long length, Sink sink) throws IOException {
    byte[] buffer = new byte[8_192];
    long remaining = length;
    while (remaining > 0) {
      int read = in.read(buffer, 0, (int) Math.min(buffer.length, remaining));
      if (read < 0) {
        throw new IOException("ended " + remaining + " bytes before the end of a body");
      }
      sink.add(buffer, read);
      remaining -= read;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("ended within a line");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}
