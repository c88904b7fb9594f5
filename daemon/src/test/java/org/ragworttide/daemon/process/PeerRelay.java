package org.ragworttide.daemon.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * TCP relay in front of a daemon's peer listener that can interrupt its connections.
 *
 * <p>Invariant: while the relay is cut, no connection stays open. Safe for use by any thread.
 */
final class PeerRelay implements AutoCloseable {
  private final ServerSocket listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile int target;
  private volatile boolean cut;

  PeerRelay() {
    try {
      listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Thread.ofVirtual().start(this::accept);
  }

  /** Sets the port to relay connections to, and returns the port of the relay. */
  int relayTo(int peerPort) {
    target = peerPort;
    return listener.getLocalPort();
  }

  void setCut(boolean now) {
    cut = now;
    if (now) {
      open.forEach(PeerRelay::closeQuietly);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        relay(listener.accept());
      } catch (IOException closed) {
        // The relay was closed.
      }
    }
  }

  private void relay(Socket from) {
    try {
      Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
      open.add(from);
      open.add(to);
      Thread.ofVirtual().start(() -> copy(from, to));
      Thread.ofVirtual().start(() -> copy(to, from));
      if (cut) {
        setCut(true);
      }
    } catch (IOException daemonIsDown) {
      closeQuietly(from);
    }
  }

  private void copy(Socket from, Socket to) {
    try (InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream()) {
      in.transferTo(out);
    } catch (IOException cutOff) {
      // Both ends are closed below.
    }
    closeQuietly(from);
    closeQuietly(to);
    open.remove(from);
    open.remove(to);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    setCut(true);
  }
}
