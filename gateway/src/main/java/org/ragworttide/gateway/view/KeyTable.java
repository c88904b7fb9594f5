package org.ragworttide.gateway.view;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.gateway.model.Organisation;

/**
 * Finds the organisation that a key belongs to.
 *
 * <p>Invariant: keys are kept and looked up as digests, so that the duration of a look-up reveals
 * nothing about a key. Immutable, safe for use by any thread.
 */
final class KeyTable {
  private final Map<String, Organisation> byDigest = new HashMap<>();

  KeyTable(List<Organisation> organisations) {
    for (Organisation organisation : organisations) {
      organisation.keys().forEach(key -> byDigest.put(digest(key), organisation));
    }
  }

  Optional<Organisation> organisationOf(String key) {
    return key.isEmpty() ? Optional.empty() : Optional.ofNullable(byDigest.get(digest(key)));
  }

  private static String digest(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
