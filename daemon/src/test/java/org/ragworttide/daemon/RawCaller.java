package org.ragworttide.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Test caller on a plain socket, for control over reads and disconnects. */
final class RawCaller implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  private static final int RECEIVE_BUFFER_BYTES = 16_384;

  private final Socket socket;
  private final InputStream in;

  RawCaller(InetSocketAddress address) throws IOException {
    socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", address.getPort()));
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  void post(String path, String body, String... headers) throws IOException {
    StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: x\r\n");
    head.append("Authorization: Bearer " + PathFixture.KEY + "\r\n");
    for (String header : headers) {
      head.append(header).append("\r\n");
    }
    write(head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads up to and including the text, or to the end of the connection. */
  String readUntil(String text) throws IOException {
    StringBuilder read = new StringBuilder();
    int from = 0;
    while (read.indexOf(text, from) < 0) {
      from = Math.max(0, read.length() - text.length());
      int b = in.read();
      if (b < 0) {
        return read.append("<end>").toString();
      }
      read.append((char) b);
    }
    return read.toString();
  }

  /** Reads to the end of the connection. */
  String readAll() throws IOException {
    return readUntil("<never>");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
