package org.ragworttide.fakes;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds ports on loopback for processes that are about to start.
 *
 * <p>Until such a process listens, others can take its ports. So they are not those that the system
 * gives to outgoing connections and to listeners of any port, and each call begins at a random one.
 *
 * <p>Invariant: the ports of one call differ, since all sockets stay open until the last port is
 * found. Stateless, safe for use by any thread.
 */
public final class FreePorts {

  /** First port that is tried; many programs listen on ports below it. */
  static final int FIRST_PORT = 10_000;

  /** Port after the last that is tried; the system gives out ports from 32,768 on. */
  static final int END_PORT = 32_768;

  private FreePorts() {}

  /**
   * Returns ports that no process listened on.
   *
   * @param count number of ports, positive
   * @throws IOException if no more ports or sockets are available
   */
  public static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int offset = ThreadLocalRandom.current().nextInt(END_PORT - FIRST_PORT);
    try {
      for (int i = 0; sockets.size() < count; i++) {
        if (i == END_PORT - FIRST_PORT) {
          throw new IOException("no " + count + " free ports");
        }
        open(FIRST_PORT + (offset + i) % (END_PORT - FIRST_PORT)).ifPresent(sockets::add);
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  private static Optional<ServerSocket> open(int port) throws IOException {
    try {
      return Optional.of(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
    } catch (BindException e) {
      return Optional.empty();
    }
  }
}
