package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Locale;
import java.util.Set;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.upstream.SendGate;
import org.ragworttide.daemon.upstream.SseEvent;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;

/**
 * Runs a request once on one upstream and converts its answer to parts for the caller.
 *
 * <p>Invariants: the slot is released however the attempt ends; the result is final once the parts
 * have completed. Signals must arrive one at a time.
 */
final class Attempt {
  /** Header that tells an engine how many content chunks the caller has already received. */
  static final String RESUME_AFTER = "Stream-Resume-After";

  /**
   * Header with the milliseconds that remain until the caller's deadline, sent by this daemon to
   * upstreams and by callers to this daemon.
   */
  static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";

  private static final String CACHE_REUSE = "Cache-Reuse";
  private static final String REQUEST_ID = "Request-Id";
  private static final Set<Integer> BUSY_STATUSES = Set.of(502, 503, 504);
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int OK = 200;
  private static final int REDIRECT_MIN = 300;
  private static final int REDIRECT_MAX = 399;
  private static final int NOT_MODIFIED = 304;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final CallerRequest request;
  private final PlacementDecision.Placed placed;
  private final RelaySettings settings;
  private final UpstreamClient client;
  private final SendGate gate;
  private final StreamProgress progress;
  private final long startNanos = System.nanoTime();
  private long firstByteMillis;
  private int status;
  private String cacheReuse = "";
  private AttemptResult result;

  Attempt(
      CallerRequest request,
      PlacementDecision.Placed placed,
      RelaySettings settings,
      UpstreamClient client,
      SendGate gate,
      StreamProgress progress) {
    this.request = request;
    this.placed = placed;
    this.settings = settings;
    this.client = client;
    this.gate = gate;
    this.progress = progress;
  }

  Flux<AnswerPart> parts() {
    return events()
        .doOnNext(this::recordHead)
        .switchOnFirst(this::toParts)
        .doFinally(unused -> placed.slot().release(outcome()));
  }

  private Flux<UpstreamEvent> events() {
    Flux<UpstreamEvent> events = client.send(placed.address(), upstreamRequest(), gate);
    return request.streaming()
        ? StallDetector.watch(events, settings.firstByteMillis(), settings.stallMillis())
        : events;
  }

  AttemptResult result() {
    return result == null ? lost("no answer") : result;
  }

  /**
   * Returns what the engine reported on the use of its prompt cache, empty if it reported nothing.
   */
  String cacheReuse() {
    return cacheReuse;
  }

  private UpstreamRequest upstreamRequest() {
    long remainingMillis = Math.max(1, request.deadline().remainingMillis());
    UpstreamRequest withTimeout =
        request
            .upstream()
            .withHeader(REQUEST_ID, request.id().value())
            .withHeader(REQUEST_TIMEOUT, Long.toString(remainingMillis));
    return progress.hasStarted()
        ? withTimeout.withHeader(RESUME_AFTER, Integer.toString(progress.deliveredChunks()))
        : withTimeout;
  }

  private void recordHead(UpstreamEvent event) {
    if (event instanceof UpstreamEvent.Head head) {
      status = head.status();
      cacheReuse = head.headers().get(CACHE_REUSE, "");
      firstByteMillis = elapsedMillis();
    }
  }

  private Flux<AnswerPart> toParts(Signal<? extends UpstreamEvent> first, Flux<UpstreamEvent> all) {
    if (!first.hasValue()) {
      return all.cast(AnswerPart.class);
    }
    return switch (first.get()) {
      case UpstreamEvent.Head head when isStream(head) -> stream(all);
      case UpstreamEvent.Head head when progress.hasStarted() -> endWith(lost("not continued"));
      case UpstreamEvent.Head head -> whole(head, all);
      case UpstreamEvent.Chunk chunk ->
          throw new IllegalStateException("body chunk arrived before the head of the answer");
      case UpstreamEvent.Failure failure -> endWith(new AttemptResult.Failed(failure));
    };
  }

  private boolean isStream(UpstreamEvent.Head head) {
    String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return request.streaming()
        && head.status() == OK
        && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
  }

  private Flux<AnswerPart> endWith(AttemptResult failed) {
    result = failed;
    return Flux.empty();
  }

  private Flux<AnswerPart> stream(Flux<UpstreamEvent> events) {
    return StreamItem.items(events, settings.maxEventBytes())
        .<AnswerPart>handle(
            (item, sink) -> {
              AnswerPart part = streamPart(item);
              if (part != null) {
                sink.next(part);
              }
            })
        .doOnComplete(this::endStream);
  }

  private void endStream() {
    if (result == null) {
      result = lost("the stream ended early");
    }
  }

  /** Returns the part to forward to the caller, or null if there is none. */
  private AnswerPart streamPart(StreamItem item) {
    if (result != null) {
      return null;
    }
    return switch (item) {
      case StreamItem.Head head when progress.hasStarted() -> null;
      case StreamItem.Head head -> {
        progress.recordStart();
        yield new AnswerPart.StreamHead(HeaderFilter.toCaller(head.head().headers()));
      }
      case StreamItem.Event event -> eventPart(event.event());
      case StreamItem.Failure failure -> {
        result = new AttemptResult.Failed(failure.failure());
        yield null;
      }
      case StreamItem.Oversized oversized -> {
        result = answerTooLarge();
        yield null;
      }
    };
  }

  private AnswerPart eventPart(SseEvent event) {
    switch (event.kind()) {
      case CONTENT -> progress.recordChunk();
      case DONE -> result = new AttemptResult.Answered();
      case ERROR -> {
        result = lost("the upstream sent an error event");
        return null;
      }
      default -> {}
    }
    return new AnswerPart.StreamEvent(event.bytes(), event.kind() == SseEvent.Kind.DONE);
  }

  private Flux<AnswerPart> whole(UpstreamEvent.Head head, Flux<UpstreamEvent> events) {
    BodyCollector body = new BodyCollector(settings.maxAnswerBytes());
    return events
        .takeWhile(body::accept)
        .then(Mono.<AnswerPart>defer(() -> Mono.justOrEmpty(wholePart(head, body))))
        .flux();
  }

  /** Returns the complete answer to forward to the caller, or null if there is none. */
  private AnswerPart wholePart(UpstreamEvent.Head head, BodyCollector body) {
    result = body.failure().<AttemptResult>map(AttemptResult.Failed::new).orElse(null);
    if (result == null && body.isOversized()) {
      result = answerTooLarge();
    }
    if (result == null && isRedirect(head.status())) {
      result = redirectRefused();
    }
    if (result != null) {
      return null;
    }
    AnswerPart.Whole whole =
        new AnswerPart.Whole(head.status(), HeaderFilter.toCaller(head.headers()), body.bytes());
    if (request.upstream().idempotent() && BUSY_STATUSES.contains(head.status())) {
      result = new AttemptResult.Withheld(whole);
      return null;
    }
    result = new AttemptResult.Answered();
    return whole;
  }

  private static boolean isRedirect(int status) {
    return status >= REDIRECT_MIN && status <= REDIRECT_MAX && status != NOT_MODIFIED;
  }

  private static AttemptResult lost(String reason) {
    return new AttemptResult.Failed(new UpstreamEvent.Lost(reason));
  }

  private static AttemptResult answerTooLarge() {
    return new AttemptResult.Refused(
        new Problem(
            ProblemCode.ANSWER_TOO_LARGE,
            RunOutcome.COMPLETED,
            "larger than this daemon relays",
            0));
  }

  private static AttemptResult redirectRefused() {
    return new AttemptResult.Refused(
        Problem.mayHaveRun(ProblemCode.UPSTREAM_REDIRECT, "redirects are not followed"));
  }

  private AttemptOutcome answered() {
    return new AttemptOutcome.Answered(status, firstByteMillis);
  }

  /** Returns the outcome of the attempt for its upstream. */
  AttemptOutcome outcome() {
    return switch (result) {
      case null -> outcomeWithoutResult();
      case AttemptResult.Answered answered -> answered();
      case AttemptResult.Withheld withheld -> answered();
      case AttemptResult.Refused refused -> answered();
      case AttemptResult.Failed failed -> outcome(failed.failure());
    };
  }

  private AttemptOutcome outcome(UpstreamEvent.Failure failure) {
    return switch (failure) {
      case UpstreamEvent.NotSent notSent -> new AttemptOutcome.Unreachable();
      case UpstreamEvent.Lost lost -> new AttemptOutcome.Lost(status != 0);
      case UpstreamEvent.Stalled stalled -> new AttemptOutcome.Stalled();
    };
  }

  /**
   * Returns the outcome of an attempt that was ended without a result. It counts as stalled only if
   * the upstream had its full time for a first byte; a caller that disconnects earlier is no
   * evidence against the upstream.
   */
  private AttemptOutcome outcomeWithoutResult() {
    boolean firstByteOverdue = status == 0 && elapsedMillis() >= settings.firstByteMillis();
    return firstByteOverdue ? new AttemptOutcome.Stalled() : new AttemptOutcome.Cancelled();
  }

  private long elapsedMillis() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
  }
}
