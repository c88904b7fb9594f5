package org.ragworttide.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Helpers for sockets. Stateless. */
final class Io {
  private Io() {}

  static InputStream buffered(Socket channel) throws IOException {
    channel.setTcpNoDelay(true);
    return new BufferedInputStream(channel.getInputStream(), 16_384);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Closes a channel with a reset. */
  static void reset(Socket channel) {
    try {
      channel.setSoLinger(true, 0);
      channel.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Closes a channel. */
  static void close(Socket channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
