package org.ragworttide.gateway.peer;

import java.nio.ByteBuffer;

/**
 * Encodes times relative to that of a statement, thus negative, as ages in two bytes.
 *
 * <p>Stateless, safe for use by any thread.
 */
final class StatedAge {
  private static final int MAX_UNSIGNED_SHORT = 0xffff;
  private static final long UNIT_MILLIS = 10;

  private StatedAge() {}

  /** Rounds up, so that no VM makes news younger by passing it on, and all forget it in time. */
  static short encode(long timeMillis) {
    return unsignedShort(Math.ceilDiv(-timeMillis, UNIT_MILLIS));
  }

  static long decode(ByteBuffer in) {
    return -Short.toUnsignedInt(in.getShort()) * UNIT_MILLIS;
  }

  static short unsignedShort(long value) {
    return (short) Math.clamp(value, 0, MAX_UNSIGNED_SHORT);
  }
}
