package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.placement.OutlierDetector;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.upstream.AttemptListener;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnection;

/**
 * The way of one caller's request: checks, placement, attempts, answer.
 *
 * <p>Invariants: exactly one final answer or abort; a request that may have run is sent again only
 * if it is repeatable; a status that promises that it has not run is only given where that is so.
 * Confined to the event loop.
 */
public final class Exchange {
  /** Connections that are tried before the request is refused. */
  private static final int MAX_UNREACHABLE = 3;

  /** Multiple of the latency objective after which a silent upstream is given up for another. */
  private static final double SILENCE_FACTOR = 1.5;

  /** Milliseconds between looks for the first configuration. */
  private static final long CONFIGURATION_CHECK_MILLIS = 20;

  /** Milliseconds that a second attempt needs at least. */
  private static final long LEAST_ATTEMPT_MILLIS = 100;

  private final RelayContext context;
  private final CallerRequest request;
  private final CallerPort caller;
  private final Answer answer;
  private final Set<UpstreamId> tried = new HashSet<>();
  private Route route;
  private ServiceName service;
  private Optional<Organisation> organisation = Optional.empty();
  private long endsAtMillis = Long.MAX_VALUE;
  private int attempts;
  private int unreachable;
  private Attempt attempt;
  private TimerService.Subscription deadline = () -> {};
  private int possibleRuns;
  private boolean done;

  /** Creates the exchange of a whole request. */
  public Exchange(RelayContext context, CallerRequest request, CallerPort caller) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.answer = new Answer(caller, request.http().method());
  }

  /** Starts the exchange. */
  public void start() {
    if (context.view().configuration().isEmpty()) {
      awaitConfiguration();
      return;
    }
    HttpHeaders headers = request.http().headers();
    Optional<Route> found =
        context.view().route(headers.get(HttpHeaderNames.HOST, ""), request.http().uri());
    if (found.isEmpty()) {
      refuse(Refusal.NO_ROUTE, "no route for host and path");
      return;
    }
    route = found.get();
    if (!admitKey()) {
      refuse(Refusal.UNKNOWN_KEY, "route " + route.name());
      return;
    }
    service = route.service(Rendezvous.hash(request.head().id()));
    context.retries().requested(service);
    startDeadline();
    place();
  }

  /** A VM that has just started reads its configuration within milliseconds if it can. */
  private void awaitConfiguration() {
    long left = context.configurationDueMillis() - context.time().nowMillis();
    if (left <= 0) {
      refuse(Refusal.NOT_CONFIGURED, "no configuration read");
    } else {
      deadline = context.time().after(Math.min(left, CONFIGURATION_CHECK_MILLIS), this::start);
    }
  }

  /** Refuses the request, since the VM stops. */
  public void refuseStopping() {
    refuse(Refusal.STOPPING, "stop in progress");
  }

  /** Gives the request up, since its caller has left. */
  public void callerLeft() {
    if (done) {
      return;
    }
    context.telemetry().callerLeft(request.head().id(), elapsedMillis());
    if (attempt != null) {
      attempt.stop(route.kind().isRepeatable() || route.kind().isStream());
    }
    finish();
  }

  /** Reads on from the upstream, since the caller has room again. */
  public void callerHasRoom() {
    if (attempt != null && attempt.connection != null) {
      attempt.connection.reading(true);
    }
  }

  private boolean admitKey() {
    if (route.open() || context.view().configuration().orElseThrow().organisations().isEmpty()) {
      return true;
    }
    organisation = context.view().holder(request.head().key());
    return organisation.isPresent();
  }

  private void startDeadline() {
    long allowed = request.head().deadlineMillis().orElse(Long.MAX_VALUE);
    if (route.timeoutMillis() > 0) {
      allowed = Math.min(allowed, route.timeoutMillis());
    }
    if (allowed < Long.MAX_VALUE) {
      endsAtMillis = request.receivedAtMillis() + allowed;
      deadline = context.time().after(Math.max(0, leftMillis()), this::expire);
    }
  }

  private void place() {
    long now = context.time().nowMillis();
    CrashSuspicions crashes = context.view().crashes();
    if (!crashes.isEmpty() && crashes.isHeldBack(fingerprint(), now)) {
      giveUp(Refusal.HELD_BACK, "upstreams crashed that ran it");
      return;
    }
    Optional<Upstream> chosen =
        context.placement().choose(service, request.head().prompt(), tried, now);
    if (chosen.isEmpty()) {
      giveUp("no upstream of service " + service + " can take it");
      return;
    }
    Optional<Prompt> prompt = request.head().prompt();
    Optional<Upstream> holder = context.placement().holder(service, prompt, chosen.get(), now);
    int open = context.view().open(service).size();
    context.telemetry().placed(request.head().id(), chosen.get().load(), open, now, prompt, holder);
    attempt = new Attempt(chosen.get(), holder.map(it -> it.entry().address()));
    attempt.begin();
  }

  private void giveUp(String cause) {
    giveUp(tried.isEmpty() ? Refusal.NO_UPSTREAM : Refusal.UPSTREAMS_FULL, cause);
  }

  private void giveUp(Refusal unsent, String cause) {
    if (answer.isBegun()) {
      abort(cause);
    } else {
      refuse(possibleRuns > 0 ? Refusal.UPSTREAM_FAILED : unsent, cause);
    }
  }

  private long fingerprint() {
    return request.fingerprint(organisation.map(Organisation::name).orElse(""));
  }

  private boolean canTryAgain() {
    return attempts < route.maxAttempts()
        && leftMillis() >= LEAST_ATTEMPT_MILLIS
        && (possibleRuns == 0 || route.kind().isRepeatable())
        && (!answer.isBegun() || answer.lastEventId().isPresent())
        && context.retries().tryRetry(service);
  }

  private void expire() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.expire();
    }
    if (answer.isBegun()) {
      abort("time is up");
    } else {
      refuse(possibleRuns > 0 ? Refusal.EXPIRED : Refusal.EXPIRED_UNSENT, "time is up");
    }
  }

  private void refuse(Refusal refusal, String cause) {
    context.telemetry().refused(request.head().id(), refusal, cause, elapsedMillis());
    caller.respond(RefusalResponse.of(refusal, context.random()));
    finish();
  }

  private void abort(String cause) {
    context.telemetry().aborted(request.head().id(), cause, elapsedMillis());
    caller.abort();
    finish();
  }

  private void finish() {
    done = true;
    deadline.cancel();
    request.body().release();
    answer.release();
  }

  private long leftMillis() {
    return endsAtMillis - context.time().nowMillis();
  }

  private long elapsedMillis() {
    return context.time().nowMillis() - request.receivedAtMillis();
  }

  /** One sending of the request to one upstream. */
  private final class Attempt implements AttemptListener {
    private final Upstream upstream;
    private final UpstreamId id;
    private final Optional<InetSocketAddress> holder;
    private UpstreamConnection connection;
    private TimerService.Subscription silence = () -> {};
    private AnswerHead head;
    private HttpResponseStatus status;
    private long sentAtMillis;
    private boolean ended;

    private Attempt(Upstream upstream, Optional<InetSocketAddress> holder) {
      this.upstream = upstream;
      this.holder = holder;
      this.id = upstream.entry().id();
    }

    private void begin() {
      tried.add(id);
      upstream.load().started();
      context.connector().connect(upstream, this::opened, this::unreachable);
    }

    private void opened(UpstreamConnection opened) {
      connection = opened;
      if (ended) {
        connection.cancel();
        return;
      }
      attempts++;
      possibleRuns++;
      sentAtMillis = context.time().nowMillis();
      upstream.load().cold().sent(sentAtMillis);
      context.placement().sent(request.head().prompt(), upstream, sentAtMillis);
      connection.send(forwarded(), request.head().id(), this);
      if (route.kind().isRepeatable() && route.targetLatencyMillis() > 0) {
        long patience = (long) (route.targetLatencyMillis() * SILENCE_FACTOR);
        silence = context.time().after(patience, this::silent);
      }
    }

    private FullHttpRequest forwarded() {
      OptionalLong left =
          endsAtMillis == Long.MAX_VALUE
              ? OptionalLong.empty()
              : OptionalLong.of(Math.max(1, leftMillis()));
      OptionalInt priority =
          organisation
              .map(Organisation::priority)
              .filter(OptionalInt::isPresent)
              .orElse(OptionalInt.of(route.priority()));
      ForwardedHead facts =
          new ForwardedHead(
              id,
              left,
              organisation.map(Organisation::name),
              priority,
              answer.lastEventId(),
              holder);
      return request.forwarded(context.dialect().toUpstream(request.http().headers(), facts));
    }

    private void silent() {
      if (!ended && !done && head == null && canTryAgain()) {
        stop(true);
        outcome(false, "no answer after the latency objective");
        place();
      }
    }

    /** Gives the attempt up, since the time is up: an upstream that was silent has failed. */
    private void expire() {
      if (!ended && connection != null && head == null) {
        outcome(false, "no answer until the time was up");
      }
      stop(route.kind().isRepeatable() || route.kind().isStream());
    }

    private void stop(boolean cancel) {
      if (ended) {
        return;
      }
      end();
      if (connection != null && cancel) {
        connection.cancel();
      } else if (connection != null) {
        connection.detach();
      }
    }

    private void end() {
      ended = true;
      silence.cancel();
      upstream.load().ended();
    }

    private void outcome(boolean good, String reason) {
      if (good) {
        context.placement().outliers(service).answered(id);
      } else {
        long now = context.time().nowMillis();
        context.placement().outliers(service).failed(id, now);
        context.telemetry().attemptFailed(request.head().id(), id, reason, elapsedMillis());
      }
    }

    @Override
    public void unreachable(String reason) {
      if (ended) {
        return;
      }
      end();
      long now = context.time().nowMillis();
      context.placement().outliers(service).unreachable(id, now);
      context.view().crashed(upstream, now);
      context.telemetry().attemptFailed(request.head().id(), id, reason, elapsedMillis());
      unreachable++;
      if (unreachable < MAX_UNREACHABLE && leftMillis() >= LEAST_ATTEMPT_MILLIS) {
        place();
      } else {
        giveUp("upstreams unreachable");
      }
    }

    @Override
    public void answered(HttpResponse response, AnswerHead answered) {
      head = answered;
      status = response.status();
      answered
          .load()
          .ifPresent(
              it ->
                  upstream.load().reported(it.running(), it.waiting(), context.time().nowMillis()));
      answer.head(response, route.kind().isStream());
    }

    @Override
    public void received(ByteBuf content) {
      if (ended || !isPassable()) {
        content.release();
        return;
      }
      answer.add(content);
      if (!caller.hasRoom()) {
        connection.reading(false);
      }
    }

    private boolean isPassable() {
      return !head.notRun() && !isUnsealedSuccess() && !isFailedContinuation();
    }

    private boolean isUnsealedSuccess() {
      return isSuccess() && (!head.sealed() || head.encoded());
    }

    /** The caller has the head of a success already: no other answer may follow it. */
    private boolean isFailedContinuation() {
      return answer.isBegun() && !isSuccess();
    }

    private boolean isSuccess() {
      return status.codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void ended() {
      if (ended) {
        return;
      }
      end();
      if (head.notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        notRun();
      } else if (isUnsealedSuccess()) {
        failed("success without receipt");
      } else if (isFailedContinuation()) {
        failed("continuation answered " + status);
      } else if (status.codeClass() == HttpStatusClass.SERVER_ERROR || isPromise()) {
        serverError();
      } else {
        deliver();
      }
    }

    private void deliver() {
      if (!answer.end()) {
        failed("stream ends within an event");
        return;
      }
      outcome(true, "");
      long now = context.time().nowMillis();
      upstream.load().answeredAfter(now - sentAtMillis, now);
      context.telemetry().answered(request.head().id(), status.code(), id, elapsedMillis());
      finish();
    }

    private void notRun() {
      possibleRuns--;
      attempts--;
      answer.reset();
      long now = context.time().nowMillis();
      OutlierDetector outliers = context.placement().outliers(service);
      if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        outliers.misdirected(id, now);
      } else {
        outliers.failed(id, now);
      }
      context
          .telemetry()
          .attemptFailed(request.head().id(), id, "not run, " + status, elapsedMillis());
      boolean again = leftMillis() >= LEAST_ATTEMPT_MILLIS && context.retries().tryRetry(service);
      if (again) {
        place();
      } else {
        giveUp("upstream answered " + status);
      }
    }

    private boolean isPromise() {
      return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
          || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    private void serverError() {
      boolean promise = isPromise() || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
      outcome(false, "answered " + status);
      if (canTryAgain()) {
        answer.reset();
        place();
      } else if (promise && !route.kind().isRepeatable()) {
        refuse(Refusal.UPSTREAM_FAILED, "upstream answered " + status + " without saying not run");
      } else {
        context.telemetry().answered(request.head().id(), status.code(), id, elapsedMillis());
        answer.end();
        finish();
      }
    }

    @Override
    public void broken(String reason) {
      if (!ended) {
        end();
        long now = context.time().nowMillis();
        context.view().crashes().brokenOff(fingerprint(), upstream.runKey(), now);
        failed(reason);
      }
    }

    private void failed(String reason) {
      outcome(false, reason);
      answer.reset();
      if (canTryAgain()) {
        place();
      } else {
        giveUp(reason);
      }
    }
  }
}
