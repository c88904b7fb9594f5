package org.ragworttide.coordination.hash;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Orders candidates for a key by rendezvous hashing, the same on every daemon.
 *
 * <p>Invariant: the order of two candidates for a key does not depend on the other candidates, so a
 * change of the set moves only the keys of the candidates that joined or left. Stateless, safe for
 * use by any thread.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /** Returns a well-mixed hash of the text. */
  public static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /** Returns the weight of a candidate for a key, both given by their hashes. */
  public static long weight(long keyHash, long candidateHash) {
    long mixed = (keyHash ^ Long.rotateLeft(candidateHash, 32)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33) ^ candidateHash) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /**
   * Returns the candidates from the heaviest to the lightest for the key.
   *
   * @param key the key
   * @param candidates the candidates to order
   * @param name returns the stable name of a candidate
   */
  public static <T> List<T> order(
      String key, Collection<T> candidates, Function<? super T, String> name) {
    long keyHash = hash(key);
    return candidates.stream()
        .map(candidate -> new Weighted<>(candidate, name.apply(candidate), keyHash))
        .sorted(Comparator.<Weighted<T>>comparingLong(Weighted::weight).reversed())
        .map(Weighted::candidate)
        .toList();
  }

  private record Weighted<T>(T candidate, long weight) {
    private Weighted(T candidate, String name, long keyHash) {
      this(candidate, Rendezvous.weight(keyHash, Rendezvous.hash(name)));
    }
  }
}
