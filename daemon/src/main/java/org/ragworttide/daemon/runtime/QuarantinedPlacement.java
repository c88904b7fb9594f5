package org.ragworttide.daemon.runtime;

import java.util.HexFormat;
import java.util.List;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.quarantine.QuarantineCommands;
import org.ragworttide.coordination.quarantine.QuarantineDecision;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.Placement;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRefusal;
import org.ragworttide.daemon.decision.PlacementRequest;
import reactor.core.publisher.Mono;

/**
 * Places a request only if the quarantine admits it, and reports its outcome to the quarantine.
 *
 * <p>Invariant: the quarantine is accessed on the coordination thread only. Safe for use by any
 * thread.
 */
final class QuarantinedPlacement implements Placement {
  private static final int HEX_CHARS_PER_LONG = 16;

  private final CoordinationLoop loop;
  private final QuarantineCommands quarantine;
  private final UpstreamIncarnations incarnations;
  private final Placement placement;

  QuarantinedPlacement(
      CoordinationLoop loop,
      QuarantineCommands quarantine,
      UpstreamIncarnations incarnations,
      Placement placement) {
    this.loop = loop;
    this.quarantine = quarantine;
    this.incarnations = incarnations;
    this.placement = placement;
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    Fingerprint fingerprint = fingerprint(request.fingerprint());
    return loop.<QuarantineDecision>call(answer -> quarantine.check(fingerprint, answer))
        .flatMap(decision -> place(request, fingerprint, decision))
        // A caller may disconnect while its request is being placed.
        .doOnDiscard(
            PlacementDecision.Placed.class,
            placed -> placed.slot().release(new AttemptOutcome.Cancelled()));
  }

  private Mono<PlacementDecision> place(
      PlacementRequest request, Fingerprint fingerprint, QuarantineDecision decision) {
    return switch (decision) {
      case QuarantineDecision.Unsuspected unsuspected ->
          placement.place(request).map(placed -> recordingOutcome(placed, fingerprint, () -> {}));
      case QuarantineDecision.Permitted permitted -> {
        Runnable endRun = () -> quarantine.recordRunEnd(fingerprint, permitted.runId());
        yield placement.place(request).map(placed -> recordingOutcome(placed, fingerprint, endRun));
      }
      case QuarantineDecision.Refused refused ->
          Mono.just(
              new PlacementDecision.Refused(
                  PlacementRefusal.QUARANTINED, refused.retryAfterMillis()));
    };
  }

  private PlacementDecision recordingOutcome(
      PlacementDecision decision, Fingerprint fingerprint, Runnable endPermittedRun) {
    return switch (decision) {
      case PlacementDecision.Refused refused -> {
        loop.execute(endPermittedRun);
        yield refused;
      }
      case PlacementDecision.Placed placed ->
          new PlacementDecision.Placed(
              placed.upstream(),
              placed.address(),
              outcome -> {
                loop.execute(
                    () -> recordOutcome(placed.upstream(), fingerprint, outcome, endPermittedRun));
                placed.slot().release(outcome);
              });
    };
  }

  private void recordOutcome(
      UpstreamId upstream,
      Fingerprint fingerprint,
      AttemptOutcome outcome,
      Runnable endPermittedRun) {
    if (outcome instanceof AttemptOutcome.Lost) {
      quarantine.recordDeath(upstream, incarnations.lastReported(upstream), List.of(fingerprint));
    } else {
      endPermittedRun.run();
    }
  }

  private static Fingerprint fingerprint(String hex) {
    long high = HexFormat.fromHexDigitsToLong(hex, 0, HEX_CHARS_PER_LONG);
    long low = HexFormat.fromHexDigitsToLong(hex, HEX_CHARS_PER_LONG, 2 * HEX_CHARS_PER_LONG);
    return new Fingerprint(high, low);
  }
}
