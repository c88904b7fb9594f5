package org.ragworttide.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HexFormat;
import java.util.UUID;
import java.util.function.BiFunction;
import org.ragworttide.daemon.decision.PlacementRequest.Target;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.relay.AnswerPart;
import org.ragworttide.daemon.relay.CallerRequest;
import org.ragworttide.daemon.relay.HeaderFilter;
import org.ragworttide.daemon.relay.InFlightCounter;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import org.ragworttide.daemon.relay.Relay;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles callers' requests from their head to the end of the answer.
 *
 * <p>Invariant: every request is answered once, with its request id. Safe for use by any thread.
 */
final class CallerHandler
    implements BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> {
  private static final Duration WRITE_GRACE = Duration.ofSeconds(5);
  private static final long STOPPED_RETRY_MILLIS = 1_000;

  private final RequestHeadValidator headValidator;
  private final BodyReader bodyReader;
  private final Relay relay;
  private final RunningRequests runningRequests;
  private final DrainState drain;
  private final PathMetrics metrics;

  CallerHandler(
      RequestHeadValidator headValidator,
      BodyReader bodyReader,
      Relay relay,
      RunningRequests runningRequests,
      DrainState drain,
      PathMetrics metrics) {
    this.headValidator = headValidator;
    this.bodyReader = bodyReader;
    this.relay = relay;
    this.runningRequests = runningRequests;
    this.drain = drain;
    this.metrics = metrics;
  }

  @Override
  public Publisher<Void> apply(HttpServerRequest request, HttpServerResponse response) {
    return Mono.defer(
        () ->
            drain.requests().tryIncrement()
                ? handleCounted(request, response)
                : refuseStopped(request, response));
  }

  private Mono<Void> handleCounted(HttpServerRequest request, HttpServerResponse response) {
    // The request ends after the end of its answer has been written, not before.
    return Mono.using(
        drain::requests, unused -> handle(request, response), InFlightCounter::decrement, false);
  }

  private Mono<Void> refuseStopped(HttpServerRequest request, HttpServerResponse response) {
    Problem problem =
        Problem.notRun(ProblemCode.NOT_READY, "the daemon has stopped", STOPPED_RETRY_MILLIS);
    return refuseUnread(problem, response, requestId(request));
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    RequestId id = requestId(request);
    RequestHead head =
        new RequestHead(request.method(), request.uri(), request.requestHeaders().copy());
    return switch (headValidator.validate(head)) {
      case RequestHeadValidation.Refused refused -> refuseUnread(refused.problem(), response, id);
      case RequestHeadValidation.Accepted accepted -> {
        accepted.chat().ifPresent(chat -> response.header(HeaderValidator.CHAT_ID, chat.value()));
        yield bodyReader
            .read(head.headers(), request.receive().asByteArray())
            .flatMap(body -> onBody(body, head, accepted, response, id));
      }
    };
  }

  private static RequestId requestId(HttpServerRequest request) {
    String given = request.requestHeaders().get(AnswerWriter.REQUEST_ID);
    return new RequestId(RequestId.isValid(given) ? given : UUID.randomUUID().toString());
  }

  private Mono<Void> onBody(
      BodyReader.Result result,
      RequestHead head,
      RequestHeadValidation.Accepted accepted,
      HttpServerResponse response,
      RequestId id) {
    return switch (result) {
      case BodyReader.Result.Refused refused -> refuseUnread(refused.problem(), response, id);
      case BodyReader.Result.Body body -> {
        Flux<AnswerPart> parts = parts(head, accepted, body.bytes(), id);
        yield AnswerWriter.write(
                parts.doOnNext(unused -> disableKeepAliveOnDrain(response)), response, id)
            .timeout(accepted.deadline().remaining().plus(WRITE_GRACE));
      }
    };
  }

  private void disableKeepAliveOnDrain(HttpServerResponse response) {
    if (drain.hasBegun() && !response.hasSentHeaders()) {
      response.keepAlive(false);
    }
  }

  private Flux<AnswerPart> parts(
      RequestHead head, RequestHeadValidation.Accepted accepted, byte[] body, RequestId id) {
    Route route = accepted.route();
    if (route.kind() == RouteKind.SERVICE) {
      Target target = new Target.ServiceRoute(route.id());
      return run(accepted, request(head, accepted, body, id, target, false));
    }
    return switch (ChatBody.read(body)) {
      case ChatBody.Malformed malformed ->
          refuse(Problem.notRun(ProblemCode.BAD_BODY, malformed.detail()));
      case ChatBody.Valid chat -> {
        Target target = new Target.Model(chat.model(), route.id());
        yield run(accepted, request(head, accepted, body, id, target, chat.stream()));
      }
    };
  }

  private static CallerRequest request(
      RequestHead head,
      RequestHeadValidation.Accepted accepted,
      byte[] body,
      RequestId id,
      Target target,
      boolean streaming) {
    Route route = accepted.route();
    byte[] routeBytes = (route.id() + '\n').getBytes(StandardCharsets.UTF_8);
    return new CallerRequest(
        id,
        accepted.key().map(CallerKey::organisation),
        accepted.chat(),
        accepted.requestKey(),
        accepted.deadline(),
        target,
        HexFormat.of().formatHex(KeyRing.sha256(routeBytes, body)),
        streaming,
        new UpstreamRequest(
            head.method(),
            accepted.target(),
            HeaderFilter.toUpstream(head.headers(), accepted.presentedKey()),
            body,
            route.idempotent()));
  }

  private Flux<AnswerPart> run(RequestHeadValidation.Accepted accepted, CallerRequest request) {
    return Flux.using(
        () -> runningRequests.start(accepted.key()),
        runningRequest -> answerIfKeyValid(accepted, request, runningRequest),
        RunningRequests.Running::end);
  }

  private Flux<AnswerPart> answerIfKeyValid(
      RequestHeadValidation.Accepted accepted,
      CallerRequest request,
      RunningRequests.Running runningRequest) {
    boolean valid = accepted.key().map(headValidator::stillAdmits).orElse(true);
    return valid
        ? relay.answer(request, runningRequest.withdrawn())
        : refuse(Problem.notRun(ProblemCode.KEY_WITHDRAWN, "the key works no longer"));
  }

  private Flux<AnswerPart> refuse(Problem problem) {
    metrics.recordIntakeRefusal(problem.code().code());
    return Flux.just(new AnswerPart.Refusal(problem));
  }

  private Mono<Void> refuseUnread(Problem problem, HttpServerResponse response, RequestId id) {
    metrics.recordIntakeRefusal(problem.code().code());
    response.header(AnswerWriter.REQUEST_ID, id.value()).keepAlive(false);
    return AnswerWriter.refusal(problem, response, id);
  }
}
