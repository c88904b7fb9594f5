package org.ragworttide.protocol;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.ragworttide.coordination.group.Shard;

/** Checks of fields that came from a peer; stateless, safe for use by any thread. */
final class WireChecks {
  private static final int MAX_ID_CHARS = 256;

  private WireChecks() {}

  static boolean isId(String text) {
    return !text.isBlank() && text.length() <= MAX_ID_CHARS;
  }

  /** Tells whether all are numbers of shards and not more than there are. */
  static boolean areShards(List<Integer> numbers) {
    return numbers.size() <= Shard.COUNT && numbers.stream().allMatch(Shard::isNumber);
  }

  /** Decodes each element; empty if there are too many or one cannot be decoded. */
  static <W, M> Optional<List<M>> all(List<W> wires, int max, Function<W, Optional<M>> decode) {
    if (wires.size() > max) {
      return Optional.empty();
    }
    List<M> messages = wires.stream().map(decode).flatMap(Optional::stream).toList();
    return messages.size() == wires.size() ? Optional.of(messages) : Optional.empty();
  }
}
