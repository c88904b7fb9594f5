package org.ragworttide.coordination.claims;

import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.RequestKey;

/** Queries of the state of claims. Used on the coordination thread only. */
public interface ClaimQueries {

  /**
   * Returns whether the decision on the key is known or pending at this VM, so that a further claim
   * here needs no decision of its own.
   */
  boolean isKnown(RequestKey key);

  /** Returns the number of this VM's own claims that are kept. */
  int claimsKept();

  /** Returns the number of bytes of answers that are kept. */
  long answerBytesKept();

  /** Returns the number of votes that are kept. */
  int votesKept();

  /** Returns whether this VM currently votes on keys of the shard. */
  boolean isInformed(Shard shard);

  /** Returns the counts of ignored messages. */
  IgnoredMessages ignored();
}
