package org.ragworttide.coordination.group;

import java.util.Objects;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * A request for one vote.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param shard the shard
 * @param key the request key of a claim, or the empty string for a lease
 * @param holder the VM that requests the vote
 * @param incarnation the run of the holder's process
 * @param version the list version that the holder has adopted
 * @param attempt the holder's number for the attempt
 */
public record Ballot(
    Shard shard, String key, VmId holder, Incarnation incarnation, long version, long attempt) {

  /** Checks that nothing is missing. */
  public Ballot {
    Objects.requireNonNull(shard, "shard");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}
