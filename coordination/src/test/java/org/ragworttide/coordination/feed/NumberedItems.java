package org.ragworttide.coordination.feed;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Rules for items of tests. The values of "configuration", which is never given up, and of keys
 * that begin with "numbered" are their versions. Stateless.
 */
final class NumberedItems implements ItemRules {
  static final String CONFIGURATION = "configuration";
  static final long MISSING_MILLIS = 2_000;
  static final long OUTDATED_MILLIS = 10_000;

  static byte[] value(long version) {
    return Long.toString(version).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public Optional<ItemVersion> version(String key, byte[] value) {
    return key.equals(CONFIGURATION) || key.startsWith("numbered")
        ? Optional.of(new ItemVersion(0, number(value)))
        : Optional.empty();
  }

  static long number(byte[] value) {
    return Long.parseLong(new String(value, StandardCharsets.UTF_8));
  }

  @Override
  public long missingGraceMillis(String key) {
    return key.equals(CONFIGURATION) ? FOREVER_MILLIS : MISSING_MILLIS;
  }

  @Override
  public long outdatedGraceMillis(String key) {
    return key.equals(CONFIGURATION) ? FOREVER_MILLIS : OUTDATED_MILLIS;
  }
}
