package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Close;

/**
 * Tokens that this VM may use until they expire.
 *
 * <p>Invariant: a permit is never used more often than it has tokens, and never at or after its
 * expiry. Not safe for use by several threads.
 */
final class Permit {
  private final long id;
  private final VmId owner;
  private final int tokens;
  private final long expiresAtMillis;
  private final List<Long> askedRequests;
  private final List<Long> usedBy = new ArrayList<>(1);

  Permit(long id, VmId owner, int tokens, long expiresAtMillis, List<Long> askedRequests) {
    this.id = id;
    this.owner = owner;
    this.tokens = tokens;
    this.expiresAtMillis = expiresAtMillis;
    this.askedRequests = askedRequests;
  }

  /** Uses one token for the request; returns false if there is none or it has expired. */
  boolean tryUse(long request, long nowMillis) {
    if (nowMillis >= expiresAtMillis || usedBy.size() >= tokens) {
      return false;
    }
    usedBy.add(request);
    return true;
  }

  int remainingTokens(long nowMillis) {
    return nowMillis >= expiresAtMillis ? 0 : tokens - usedBy.size();
  }

  boolean isExhausted() {
    return usedBy.size() >= tokens;
  }

  boolean expiresWithin(long millis, long nowMillis) {
    return expiresAtMillis - nowMillis <= millis;
  }

  VmId owner() {
    return owner;
  }

  Close close() {
    boolean asAsked = !usedBy.isEmpty() && usedBy.equals(askedRequests);
    return new Close(id, asAsked, asAsked ? List.of() : usedBy);
  }
}
