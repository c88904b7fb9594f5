package org.ragworttide.daemon.runtime;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import org.ragworttide.coordination.Coordinator;
import org.ragworttide.coordination.claims.ClaimQuota;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.daemon.decision.ClaimDecision;
import org.ragworttide.daemon.decision.ClaimHandle;
import org.ragworttide.daemon.decision.Claims;
import reactor.core.publisher.Mono;

/**
 * Admits non-idempotent requests by fleet-wide claims.
 *
 * <p>Invariant: the claims are accessed on the coordination thread only. Safe for use by any
 * thread.
 */
final class FleetClaims implements Claims {
  private static final Duration POLL_PERIOD = Duration.ofMillis(100);
  private static final long MAX_WAIT_MILLIS = 5_000;
  private static final int KEY_BYTES = 18;
  private static final double CLAIM_SHARE = 0.5;
  private static final double BYTES_PER_CLAIM = 512;

  private final CoordinationLoop loop;
  private final Coordinator coordinator;
  private final ClaimQuota quota;

  FleetClaims(CoordinationLoop loop, Coordinator coordinator, int budgetBytesPerSecond) {
    this.loop = loop;
    this.coordinator = coordinator;
    this.quota = new ClaimQuota(loop, budgetBytesPerSecond * CLAIM_SHARE / BYTES_PER_CLAIM);
  }

  @Override
  public Mono<ClaimDecision> claim(OrganisationId organisation, RequestKey key) {
    RequestKey fleetKey = fleetKey(organisation, key);
    return loop.<Boolean>call(answer -> answer.accept(isWithinQuota(organisation, fleetKey)))
        .flatMap(
            admitted ->
                admitted
                    ? requestClaim(fleetKey, loop.nowMillis())
                    : Mono.just(new ClaimDecision.OverQuota(quota.retryAfterMillis())));
  }

  private boolean isWithinQuota(OrganisationId organisation, RequestKey key) {
    return coordinator.claims().isKnown(key) || quota.tryBegin(organisation);
  }

  private Mono<ClaimDecision> requestClaim(RequestKey key, long sinceMillis) {
    long followMillis = Math.max(0, sinceMillis + MAX_WAIT_MILLIS - loop.nowMillis());
    return loop.<org.ragworttide.coordination.claims.ClaimDecision>call(
            answer -> coordinator.claimCommands().claim(key, followMillis, answer))
        .flatMap(decision -> translate(decision, key, sinceMillis));
  }

  private Mono<ClaimDecision> translate(
      org.ragworttide.coordination.claims.ClaimDecision decision,
      RequestKey key,
      long sinceMillis) {
    return switch (decision) {
      case org.ragworttide.coordination.claims.ClaimDecision.Granted granted ->
          Mono.just(new ClaimDecision.Granted(new Handle(key)));
      case org.ragworttide.coordination.claims.ClaimDecision.Running running ->
          pollFirstRun(key, sinceMillis);
      case org.ragworttide.coordination.claims.ClaimDecision.Completed completed ->
          Mono.just(ClaimAnswerCodec.decode(completed.answer()));
      case org.ragworttide.coordination.claims.ClaimDecision.MayHaveRun mayHaveRun ->
          Mono.just(new ClaimDecision.MayHaveRun());
      case org.ragworttide.coordination.claims.ClaimDecision.NotRun notRun ->
          Mono.just(new ClaimDecision.NotRun(notRun.reason().name()));
    };
  }

  /**
   * Requests the claim again after the poll period; this sends no message while the first run is on
   * this daemon.
   */
  private Mono<ClaimDecision> pollFirstRun(RequestKey key, long sinceMillis) {
    if (loop.nowMillis() - sinceMillis >= MAX_WAIT_MILLIS) {
      return Mono.just(new ClaimDecision.FirstRunning());
    }
    return Mono.delay(POLL_PERIOD).then(Mono.defer(() -> requestClaim(key, sinceMillis)));
  }

  /** Returns a short key that is equal on every daemon and does not reveal the caller's key. */
  private static RequestKey fleetKey(OrganisationId organisation, RequestKey key) {
    byte[] text = (organisation + "\n" + key).getBytes(StandardCharsets.UTF_8);
    byte[] digest = Arrays.copyOf(sha256().digest(text), KEY_BYTES);
    return new RequestKey(Base64.getUrlEncoder().withoutPadding().encodeToString(digest));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }

  /** Reports the end of one run with a granted claim; safe for use by any thread. */
  private final class Handle implements ClaimHandle {
    private final RequestKey key;

    private Handle(RequestKey key) {
      this.key = key;
    }

    @Override
    public void reportCompleted(int status, String contentType, byte[] body) {
      loop.execute(
          () ->
              ClaimAnswerCodec.encode(status, contentType, body)
                  .ifPresentOrElse(
                      answer -> coordinator.claimCommands().recordCompleted(key, answer),
                      () -> coordinator.claimCommands().recordMayHaveRun(key)));
    }

    @Override
    public void reportNotRun() {
      loop.execute(() -> coordinator.claimCommands().releaseNotRun(key));
    }

    @Override
    public void reportMayHaveRun() {
      loop.execute(() -> coordinator.claimCommands().recordMayHaveRun(key));
    }
  }
}
