package org.ragworttide.protocol;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.coordination.group.Shard;

/** Validates fields that a peer sent; stateless, safe for use by any thread. */
final class WireChecks {
  private static final int MAX_ID_CHARS = 256;

  private WireChecks() {}

  static boolean isId(String text) {
    return !text.isBlank() && text.length() <= MAX_ID_CHARS;
  }

  /** Returns whether all are valid shard numbers and there are at most as many as shards. */
  static boolean areShardNumbers(List<Integer> numbers) {
    return numbers.size() <= Shard.COUNT && numbers.stream().allMatch(Shard::isNumber);
  }

  /** Decodes each element; empty if there are too many or one cannot be decoded. */
  static <W, M> Optional<List<M>> decodeAll(
      List<W> wires, int max, Function<W, Optional<M>> decode) {
    if (wires.size() > max) {
      return Optional.empty();
    }
    List<M> messages = wires.stream().map(decode).flatMap(Optional::stream).toList();
    return messages.size() == wires.size() ? Optional.of(messages) : Optional.empty();
  }
}
