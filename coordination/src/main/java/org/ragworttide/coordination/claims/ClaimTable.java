package org.ragworttide.coordination.claims;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.claims.LocalClaim.Completed;
import org.ragworttide.coordination.claims.LocalClaim.MayHaveRun;
import org.ragworttide.coordination.claims.LocalClaim.Running;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.message.ClaimAnswer;

/**
 * Table of this VM's own claims and of the answers kept for later arrivals.
 *
 * <p>Invariants: the numbers of claims and of answer bytes are bounded; an answer may be dropped
 * before its claim, and a claim is removed only after its retention. Used on the coordination
 * thread only.
 */
final class ClaimTable {
  private final ClaimSettings settings;
  private final Map<RequestKey, Entry> claims = new HashMap<>();
  private final Map<RequestKey, Integer> answerLengths = new LinkedHashMap<>();
  private long answerBytes;

  ClaimTable(ClaimSettings settings) {
    this.settings = settings;
  }

  Optional<LocalClaim> find(RequestKey key) {
    return Optional.ofNullable(claims.get(key)).map(Entry::claim);
  }

  boolean isFull() {
    return claims.size() >= settings.maxClaims();
  }

  int size() {
    return claims.size();
  }

  long answerBytes() {
    return answerBytes;
  }

  /** Sets the state of a claim and keeps it for the retention from now. */
  void put(RequestKey key, LocalClaim claim, long nowMillis) {
    dropAnswer(key);
    claims.put(key, new Entry(claim, nowMillis));
  }

  void complete(RequestKey key, ClaimAnswer answer, long nowMillis) {
    put(key, new Completed(answer), nowMillis);
    answerLengths.put(key, answer.length());
    answerBytes += answer.length();
    while (answerBytes > settings.maxAnswerBytes()) {
      RequestKey oldest = answerLengths.keySet().iterator().next();
      dropAnswer(oldest);
      MayHaveRun state = new MayHaveRun(ClaimDecision.Reason.ANSWER_NOT_HELD);
      claims.computeIfPresent(oldest, (any, entry) -> new Entry(state, entry.sinceMillis));
    }
  }

  private void dropAnswer(RequestKey key) {
    Integer length = answerLengths.remove(key);
    if (length != null) {
      answerBytes -= length;
    }
  }

  /** Removes claims whose retention is over, except running claims. */
  void removeExpired(long nowMillis, long keepMillis) {
    Iterator<Map.Entry<RequestKey, Entry>> entries = claims.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<RequestKey, Entry> entry = entries.next();
      boolean running = entry.getValue().claim instanceof Running;
      if (!running && nowMillis - entry.getValue().sinceMillis >= keepMillis) {
        dropAnswer(entry.getKey());
        entries.remove();
      }
    }
  }

  private record Entry(LocalClaim claim, long sinceMillis) {}
}
