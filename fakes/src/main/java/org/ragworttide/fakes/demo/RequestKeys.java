package org.ragworttide.fakes.demo;

import java.security.SecureRandom;
import java.util.UUID;

/**
 * Generates idempotency keys that carry their creation time (UUIDv7); safe for use by any thread.
 */
final class RequestKeys {
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final long VERSION_7 = 0x7000L;
  private static final long VARIANT = 0x8000000000000000L;

  private RequestKeys() {}

  static String next() {
    long high = System.currentTimeMillis() << 16 | VERSION_7 | RANDOM.nextInt(1 << 12);
    long low = VARIANT | RANDOM.nextLong() >>> 2;
    return new UUID(high, low).toString();
  }
}
