package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Close;

/**
 * Tokens that this VM may use until they expire.
 *
 * <p>Invariant: never more uses than tokens, and none at or after the expiry. Not safe for use by
 * several threads.
 */
final class Permit {
  private final long id;
  private final VmId owner;
  private final int tokens;
  private final long untilMillis;
  private final List<Long> asked;
  private final List<Long> uses = new ArrayList<>(1);

  Permit(long id, VmId owner, int tokens, long untilMillis, List<Long> asked) {
    this.id = id;
    this.owner = owner;
    this.tokens = tokens;
    this.untilMillis = untilMillis;
    this.asked = asked;
  }

  /** Uses one token for the request; returns false if there is none or it has expired. */
  boolean use(long request, long nowMillis) {
    if (nowMillis >= untilMillis || uses.size() >= tokens) {
      return false;
    }
    uses.add(request);
    return true;
  }

  int left(long nowMillis) {
    return nowMillis >= untilMillis ? 0 : tokens - uses.size();
  }

  boolean isUsedUp() {
    return uses.size() >= tokens;
  }

  boolean endsWithin(long millis, long nowMillis) {
    return untilMillis - nowMillis <= millis;
  }

  VmId owner() {
    return owner;
  }

  Close close() {
    boolean asAsked = !uses.isEmpty() && uses.equals(asked);
    return new Close(id, asAsked, asAsked ? List.of() : uses);
  }
}
