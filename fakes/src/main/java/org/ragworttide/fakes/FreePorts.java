package org.ragworttide.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds ports on loopback for processes that are about to start.
 *
 * <p>Invariant: the ports of one call differ, since all sockets stay open until the last port is
 * found. Stateless, safe for use by any thread.
 */
public final class FreePorts {

  private FreePorts() {}

  /**
   * Returns ports that no process listened on.
   *
   * @param count number of ports, positive
   * @throws IOException if no more ports or sockets are available
   */
  public static List<Integer> find(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream().map(ServerSocket::getLocalPort).toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
