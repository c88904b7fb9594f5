package org.ragworttide.coordination.streams;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Chooses the VMs that remember a stream for the VM that began it.
 *
 * <p>Handles callers that continue a stream at any VM after its own is gone. Passing each stream on
 * to all VMs would exceed the budget between VMs in a large fleet; a few keepers, which every VM
 * finds by hashing, cost the same at any size.
 *
 * <p>Invariant: VMs that know the same members choose the same keepers; members that only one of
 * them knows displace as many of the others at most. Stateless, safe for use by any thread.
 */
public final class StreamKeepers {
  /** Keepers of a stream: the loss of a zone of three or a third of the VMs leaves one or more. */
  static final int KEEPERS = 4;

  /** Spreads numbers that differ in a few bits, such as addresses, over all bits. */
  private static final long NUMBER_FACTOR = 0x9e3779b97f4a7c15L;

  private static final long HASH_KEY = Rendezvous.hash("stream keepers");

  private StreamKeepers() {}

  /**
   * Returns the keepers of a stream.
   *
   * @param members numbers of the VMs, which are theirs alone
   */
  public static List<Long> choose(StreamId stream, Collection<Long> members) {
    return members.stream()
        .sorted(Comparator.comparingLong((Long member) -> weight(stream, member)).reversed())
        .limit(KEEPERS)
        .toList();
  }

  /**
   * Returns whether a VM is one of the stream's keepers, without sorting all members.
   *
   * @param members numbers of the VMs, which may lack the VM itself
   */
  public static boolean isKeeper(StreamId stream, long vm, Collection<Long> members) {
    long own = weight(stream, vm);
    int heavier = 0;
    for (long member : members) {
      if (member != vm && weight(stream, member) > own && ++heavier == KEEPERS) {
        return false;
      }
    }
    return true;
  }

  private static long weight(StreamId stream, long member) {
    return Rendezvous.weight(stream.value(), Rendezvous.weight(HASH_KEY, member * NUMBER_FACTOR));
  }
}
