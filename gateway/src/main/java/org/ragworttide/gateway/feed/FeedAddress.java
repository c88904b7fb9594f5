package org.ragworttide.gateway.feed;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Converts IPv4 socket addresses to numbers and back. Stateless, safe for use by any thread. */
public final class FeedAddress {
  private static final int IPV4_BYTES = 4;
  private static final int PORT_BITS = 16;
  private static final int PORT_MASK = 0xffff;

  private FeedAddress() {}

  /** Returns the number of the address: its IPv4 address, then its port. */
  public static long number(InetSocketAddress address) {
    byte[] ip = address.getAddress().getAddress();
    if (ip.length != IPV4_BYTES) {
      throw new IllegalArgumentException(address + " is not an IPv4 address");
    }
    long number = 0;
    for (byte part : ip) {
      number = number << Byte.SIZE | part & 0xff;
    }
    return number << PORT_BITS | address.getPort();
  }

  /** Returns the address of the number. */
  public static InetSocketAddress address(long number) {
    byte[] ip = new byte[IPV4_BYTES];
    for (int i = 0; i < IPV4_BYTES; i++) {
      ip[i] = (byte) (number >> PORT_BITS + Byte.SIZE * (IPV4_BYTES - 1 - i));
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(ip), (int) (number & PORT_MASK));
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an IPv4 address", e);
    }
  }
}
