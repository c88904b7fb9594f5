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
 * Places a request only if the quarantine lets it run, and tells the quarantine how it ended.
 *
 * <p>Invariant: the quarantine is touched on the coordination thread only. Safe for use by any
 * thread.
 */
final class QuarantinedPlacement implements Placement {
  private static final int HEX_CHARS_A_LONG = 16;

  private final CoordinationLoop loop;
  private final QuarantineCommands quarantine;
  private final UpstreamRuns runs;
  private final Placement placement;

  QuarantinedPlacement(
      CoordinationLoop loop,
      QuarantineCommands quarantine,
      UpstreamRuns runs,
      Placement placement) {
    this.loop = loop;
    this.quarantine = quarantine;
    this.runs = runs;
    this.placement = placement;
  }

  @Override
  public Mono<PlacementDecision> place(PlacementRequest request) {
    Fingerprint fingerprint = fingerprint(request.fingerprint());
    return loop.<QuarantineDecision>call(answer -> quarantine.check(fingerprint, answer))
        .flatMap(decision -> place(request, fingerprint, decision))
        // A caller may leave while its request is being placed.
        .doOnDiscard(
            PlacementDecision.Placed.class,
            placed -> placed.slot().release(new AttemptOutcome.Cancelled()));
  }

  private Mono<PlacementDecision> place(
      PlacementRequest request, Fingerprint fingerprint, QuarantineDecision decision) {
    return switch (decision) {
      case QuarantineDecision.Unsuspected unsuspected ->
          placement.place(request).map(placed -> watch(placed, fingerprint, () -> {}));
      case QuarantineDecision.Permitted permitted -> {
        Runnable end = () -> quarantine.finished(fingerprint, permitted.runId());
        yield placement.place(request).map(placed -> watch(placed, fingerprint, end));
      }
      case QuarantineDecision.Refused refused ->
          Mono.just(
              new PlacementDecision.Refused(
                  PlacementRefusal.QUARANTINED, refused.retryAfterMillis()));
    };
  }

  private PlacementDecision watch(
      PlacementDecision decision, Fingerprint fingerprint, Runnable endOfPermittedRun) {
    return switch (decision) {
      case PlacementDecision.Refused refused -> {
        loop.execute(endOfPermittedRun);
        yield refused;
      }
      case PlacementDecision.Placed placed ->
          new PlacementDecision.Placed(
              placed.upstream(),
              placed.address(),
              outcome -> {
                loop.execute(
                    () -> ended(placed.upstream(), fingerprint, outcome, endOfPermittedRun));
                placed.slot().release(outcome);
              });
    };
  }

  private void ended(
      UpstreamId upstream,
      Fingerprint fingerprint,
      AttemptOutcome outcome,
      Runnable endOfPermittedRun) {
    if (outcome instanceof AttemptOutcome.Lost) {
      quarantine.died(upstream, runs.of(upstream), List.of(fingerprint));
    } else {
      endOfPermittedRun.run();
    }
  }

  private static Fingerprint fingerprint(String hex) {
    long high = HexFormat.fromHexDigitsToLong(hex, 0, HEX_CHARS_A_LONG);
    long low = HexFormat.fromHexDigitsToLong(hex, HEX_CHARS_A_LONG, 2 * HEX_CHARS_A_LONG);
    return new Fingerprint(high, low);
  }
}
