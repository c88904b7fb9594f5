package org.ragworttide.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.document.ConfigurationDocument.Key;

/**
 * Set of API keys of one configuration, by which the organisation of a presented key is found.
 *
 * <p>Invariant: a lookup compares digests only, and takes the same time whichever key matches.
 * Immutable, safe for use by any thread.
 */
final class KeyRing {
  private final List<Entry> entries;

  KeyRing(List<Key> keys) {
    this.entries = keys.stream().map(Entry::of).toList();
  }

  /** Checks a key as the caller presented it. */
  KeyCheck check(String presented) {
    return checkDigest(sha256(presented.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns whether a key found earlier still admits the same organisation. */
  boolean stillAdmits(CallerKey key) {
    return checkDigest(HexFormat.of().parseHex(key.sha256())) instanceof KeyCheck.Valid valid
        && valid.key().equals(key);
  }

  private KeyCheck checkDigest(byte[] digest) {
    Entry found = null;
    for (Entry entry : entries) {
      if (MessageDigest.isEqual(entry.digest(), digest)) {
        found = entry;
      }
    }
    if (found == null) {
      return new KeyCheck.Unknown();
    }
    return found.withdrawn() ? new KeyCheck.Withdrawn() : new KeyCheck.Valid(found.key());
  }

  /** Returns the SHA-256 digest of the concatenated parts. */
  static byte[] sha256(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (byte[] part : parts) {
        digest.update(part);
      }
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  private record Entry(byte[] digest, CallerKey key, boolean withdrawn) {
    static Entry of(Key key) {
      String hex = key.sha256();
      CallerKey callerKey = new CallerKey(hex, new OrganisationId(key.organisation()));
      return new Entry(HexFormat.of().parseHex(hex), callerKey, key.withdrawn());
    }
  }
}
