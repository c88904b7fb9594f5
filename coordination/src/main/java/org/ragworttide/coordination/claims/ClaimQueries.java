package org.ragworttide.coordination.claims;

import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.group.Shard;

/** Reads the state of the claims; used on the coordination thread only. */
public interface ClaimQueries {

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
