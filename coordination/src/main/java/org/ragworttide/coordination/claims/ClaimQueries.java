package org.ragworttide.coordination.claims;

import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.RequestKey;

/** Reads the state of the claims; used on the coordination thread only. */
public interface ClaimQueries {

  /** Tells whether a claim on the key is decided without a round of votes of its own. */
  boolean isKnown(RequestKey key);

  /** Returns how many claims of this VM's own are kept. */
  int claimsKept();

  /** Returns how many bytes of answers are kept. */
  long answerBytesKept();

  /** Returns how many votes are kept. */
  int votesKept();

  /** Tells whether this VM votes for keys of the shard now. */
  boolean isInformed(Shard shard);

  /** Returns the counts of ignored messages. */
  IgnoredMessages ignored();
}
