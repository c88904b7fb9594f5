package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.placement.OutlierDetector;
import org.ragworttide.coordination.placement.Prompt;
import org.ragworttide.coordination.quarantine.Admission;
import org.ragworttide.coordination.quarantine.CrashCause;
import org.ragworttide.coordination.quarantine.CrashSuspicions;
import org.ragworttide.coordination.streams.EventId;
import org.ragworttide.coordination.streams.SoftwareVersion;
import org.ragworttide.coordination.streams.StreamId;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.model.Organisation;
import org.ragworttide.gateway.model.Route;
import org.ragworttide.gateway.model.RouteKind;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.peer.BrittleUpstreams;
import org.ragworttide.gateway.upstream.AttemptListener;
import org.ragworttide.gateway.upstream.ConnectFailure;
import org.ragworttide.gateway.upstream.Upstream;
import org.ragworttide.gateway.upstream.UpstreamConnection;

/**
 * Relays one caller's request: checks it, chooses an upstream, sends the attempts and returns the
 * response.
 *
 * <p>A stream goes on only at upstreams of the software version that began it, within an answer and
 * over a caller's requests.
 *
 * <p>Invariants: an exchange ends with exactly one final response or abort; a request that may have
 * run is sent again only if it is repeatable; the caller receives a status that guarantees that the
 * request has not run only if it has not. Confined to the event loop.
 */
public final class Exchange {
  /** Failed connection attempts after which the request is refused. */
  private static final int MAX_UNREACHABLE_UPSTREAMS = 3;

  /** Multiple of the latency objective after which an attempt without a response is abandoned. */
  private static final double RESPONSE_TIMEOUT_FACTOR = 1.5;

  /** Milliseconds between checks for the first configuration. */
  private static final long CONFIGURATION_CHECK_MILLIS = 20;

  /**
   * Milliseconds after the first bytes of an answer in which a break may be a crash that the
   * request has caused: such requests crash an upstream when it begins to answer them.
   */
  private static final long ANSWER_START_MILLIS = 500;

  /**
   * Milliseconds without a byte after which a stream of a zone that has fallen silent is continued
   * elsewhere: several pauses between events.
   */
  private static final long QUIET_STREAM_MILLIS = 300;

  /** Milliseconds that must remain until the deadline for another attempt. */
  private static final long MIN_ATTEMPT_MILLIS = 100;

  private final RelayContext context;
  private final CallerRequest request;
  private final ResponseWriter caller;
  private final CallerResponse response;
  private final Set<UpstreamId> tried = new HashSet<>();

  /** Brittle upstreams that may have no room for the request. */
  private final Set<UpstreamId> withoutRoom = new HashSet<>();

  /** Upstreams to which this VM could not open a connection and no other has been asked to. */
  private final Deque<Upstream> unreached = new ArrayDeque<>();

  private Route route;
  private ServiceName service;

  /** The version at which the stream has to go on, empty until its first event. */
  private Optional<SoftwareVersion> version = Optional.empty();

  private RequestSuspects suspects;
  private Optional<Organisation> organisation = Optional.empty();
  private long deadlineAtMillis = Long.MAX_VALUE;
  private int attempts;
  private int unreachableUpstreams;
  private Attempt attempt;
  private TimerService.Subscription deadlineTimer = () -> {};
  private int possibleRuns;
  private boolean done;

  /** Creates the exchange of a request that has been received completely. */
  public Exchange(RelayContext context, CallerRequest request, ResponseWriter caller) {
    this.context = context;
    this.request = request;
    this.caller = caller;
    this.response = new CallerResponse(caller, request.http().method(), this::recordBegin);
  }

  /** Checks the request and sends it to an upstream. */
  public void start() {
    if (context.view().configuration().isEmpty()) {
      awaitConfiguration();
      return;
    }
    HttpHeaders headers = request.http().headers();
    Optional<Route> found =
        context.view().route(headers.get(HttpHeaderNames.HOST, ""), request.http().uri());
    if (found.isEmpty()) {
      refuse(Refusal.NO_ROUTE, "no route matches host and path");
      return;
    }
    route = found.get();
    if (!authenticate()) {
      refuse(Refusal.UNKNOWN_KEY, "route " + route.name());
      return;
    }
    service = route.service(Rendezvous.hash(firstRequestId()));
    suspects =
        new RequestSuspects(request, service, organisation.map(Organisation::name).orElse(""));
    request
        .metadata()
        .continuation()
        .ifPresent(it -> context.telemetry().recordContinuation(request.metadata().id(), it));
    context.retries().recordRequest(service);
    startDeadlineTimer();
    if (refuseIfStopping()) {
      return;
    }
    Optional<RequestMetadata.Continuation> continuation = request.metadata().continuation();
    if (route.kind().isStream() && continuation.isPresent()) {
      if (route.kind() == RouteKind.RESUMABLE_STREAM) {
        response.continueAfter(new EventId(continuation.get().lastEventId()));
      }
      new StreamPin(context, route, service).find(continuation.get(), this::continueAt);
    } else {
      place();
    }
  }

  /** Returns the id of the caller's request that received the first event of the stream. */
  private String firstRequestId() {
    return request
        .metadata()
        .continuation()
        .flatMap(RequestMetadata.Continuation::firstRequestId)
        .orElse(request.metadata().id());
  }

  private void continueAt(Optional<SoftwareVersion> known, String causeIfUnknown) {
    if (done) {
      return;
    }
    version = known;
    if (version.isEmpty()) {
      refuse(Refusal.STREAM_UNKNOWN, causeIfUnknown);
    } else if (!refuseIfStopping()) {
      place();
    }
  }

  /**
   * Waits for the first configuration, which a VM that has just started normally reads within
   * milliseconds.
   */
  private void awaitConfiguration() {
    long remainingMillis = context.configurationDeadlineMillis() - context.time().nowMillis();
    if (remainingMillis <= 0) {
      refuse(Refusal.NOT_CONFIGURED, "no configuration has been read");
    } else {
      deadlineTimer =
          context.time().after(Math.min(remainingMillis, CONFIGURATION_CHECK_MILLIS), this::start);
    }
  }

  /** Refuses a request that has not been passed on and might outlast the VM's stop. */
  private boolean refuseIfStopping() {
    boolean refused =
        possibleRuns == 0
            && !response.isBegun()
            && !context.stopAdmission().admits(deadlineAtMillis);
    if (refused) {
      refuse(Refusal.STOPPING, "VM is stopping");
    }
    return refused;
  }

  /**
   * Records the version of a stream before its first event is passed on; until then, another one
   * may begin it.
   */
  private void recordBegin() {
    if (attempt.isSuccess() && version.isEmpty() && route.kind() == RouteKind.RESUMABLE_STREAM) {
      version = Optional.of(attempt.upstream.entry().softwareVersion());
      context.streams().record(StreamId.of(request.metadata().id()), version.get());
    }
  }

  /** Ends the request with a final answer because the VM's stop ends. */
  public void endAtStop() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.stop(route.kind().isRepeatable() || route.kind().isStream());
    }
    if (response.isBegun()) {
      abort("VM is stopping");
    } else {
      refuse(possibleRuns > 0 ? Refusal.INTERRUPTED : Refusal.STOPPING, "VM is stopping");
    }
  }

  /** Abandons the request because the caller has closed the connection. */
  public void callerDisconnected() {
    if (done) {
      return;
    }
    context.telemetry().recordDisconnect(request.metadata().id(), elapsedMillis());
    if (attempt != null) {
      attempt.stop(route.kind().isRepeatable() || route.kind().isStream());
    }
    finish();
  }

  /** Resumes reading from the upstream because the caller's connection is writable again. */
  public void callerWritable() {
    if (attempt != null && attempt.connection != null) {
      attempt.connection.setReading(true);
    }
  }

  private boolean authenticate() {
    if (route.allowsUnauthenticated()
        || context.view().configuration().orElseThrow().organisations().isEmpty()) {
      return true;
    }
    organisation = context.view().organisationOf(request.metadata().key());
    return organisation.isPresent();
  }

  private void startDeadlineTimer() {
    long allowedMillis = request.metadata().deadlineMillis().orElse(Long.MAX_VALUE);
    if (route.timeoutMillis() > 0) {
      allowedMillis = Math.min(allowedMillis, route.timeoutMillis());
    }
    if (allowedMillis < Long.MAX_VALUE) {
      deadlineAtMillis = request.receivedAtMillis() + allowedMillis;
      deadlineTimer = context.time().after(Math.max(0, remainingMillis()), this::expire);
    }
  }

  private void place() {
    long now = context.time().nowMillis();
    if (admit(now) instanceof Admission.HeldBack heldBack) {
      CrashCause cause = heldBack.cause();
      refuseOrAbort(
          Refusal.HELD_BACK,
          "requests with " + cause.description() + " crashed " + cause.crashes() + " upstreams");
      return;
    }
    Optional<Upstream> chosen =
        context.placement().choose(service, version, request.metadata().prompt(), excluded(), now);
    if (chosen.isEmpty()) {
      if (reachThroughPeer()) {
        return;
      }
      if (version.isPresent() && !context.view().versions().isPresent(service, version.get())) {
        refuseOrAbort(
            Refusal.STREAM_VERSION_GONE,
            "no upstream of service " + service + " has the stream's version " + version.get());
        return;
      }
      if (tried.isEmpty()
          && (!withoutRoom.isEmpty() || context.placement().isLimited(service, now))) {
        refuse(
            Refusal.UPSTREAMS_LIMITED,
            "no upstream of service " + service + " accepts more requests now");
      } else {
        refuseOrAbort("no upstream of service " + service + " is available");
      }
      return;
    }
    if (chosen.get().load().coldAllowance().isCold(now)) {
      askForPermit(chosen.get());
    } else {
      attemptWithRoom(chosen.get(), false);
    }
  }

  private Set<UpstreamId> excluded() {
    if (withoutRoom.isEmpty()) {
      return tried;
    }
    Set<UpstreamId> excluded = new HashSet<>(tried);
    excluded.addAll(withoutRoom);
    return excluded;
  }

  /**
   * Sends the request through another VM to an upstream to which this VM could not open a
   * connection; returns whether there is one that another VM may reach.
   */
  private boolean reachThroughPeer() {
    while (!unreached.isEmpty()) {
      Upstream upstream = unreached.poll();
      if (context.paths().mayReachThroughPeer(upstream)) {
        attemptWithRoom(upstream, true);
        return true;
      }
    }
    return false;
  }

  /** Sends the request to a cold upstream if that is permitted, or else places it again. */
  private void askForPermit(Upstream cold) {
    context
        .coldStarts()
        .ask(
            cold.incarnationKey(),
            isPermitted -> {
              if (done) {
                return;
              }
              if (isPermitted && !cold.isRemoved()) {
                attemptWithRoom(cold, false);
              } else {
                context.telemetry().recordColdRefusal();
                cold.load().coldAllowance().recordRefusal(context.time().nowMillis());
                place();
              }
            });
  }

  /** Sends the request to an upstream that is not brittle or has room, or else places it again. */
  private void attemptWithRoom(Upstream chosen, boolean throughPeer) {
    if (!context.brittle().isBrittle(chosen)) {
      attempt(chosen, throughPeer, context.brittle().begin(chosen));
      return;
    }
    context
        .brittle()
        .ask(
            chosen,
            permitted -> {
              if (done || chosen.isRemoved()) {
                permitted.ifPresent(it -> it.end(false));
              }
              if (done) {
                return;
              }
              if (permitted.isPresent() && !chosen.isRemoved()) {
                attempt(chosen, throughPeer, permitted.get());
              } else {
                context.telemetry().recordBrittleRefusal();
                withoutRoom.add(chosen.entry().id());
                place();
              }
            });
  }

  private void attempt(Upstream chosen, boolean throughPeer, BrittleUpstreams.InFlight inFlight) {
    long now = context.time().nowMillis();
    Optional<Prompt> prompt = request.metadata().prompt();
    Optional<Upstream> fetchSource = context.placement().fetchSource(service, prompt, chosen, now);
    int availableUpstreams = context.view().availableUpstreams(service).size();
    context
        .telemetry()
        .recordPlacement(
            request.metadata().id(),
            chosen.load(),
            context.view().peers(),
            availableUpstreams,
            now,
            prompt,
            fetchSource,
            suspects.parts());
    attempt =
        new Attempt(chosen, fetchSource.map(it -> it.entry().address()), throughPeer, inFlight);
    attempt.begin();
  }

  private void refuseOrAbort(String cause) {
    refuseOrAbort(tried.isEmpty() ? Refusal.NO_UPSTREAM : Refusal.UPSTREAMS_FULL, cause);
  }

  private void refuseOrAbort(Refusal ifNotRun, String cause) {
    if (response.isBegun()) {
      abort(cause);
    } else {
      refuse(possibleRuns > 0 ? Refusal.UPSTREAM_FAILED : ifNotRun, cause);
    }
  }

  private Admission admit(long nowMillis) {
    CrashSuspicions crashes = context.view().crashes();
    return crashes.isEmpty() ? new Admission.Admitted() : crashes.admit(suspects.all(), nowMillis);
  }

  private boolean canRetry() {
    return attempts < route.maxAttempts()
        && remainingMillis() >= MIN_ATTEMPT_MILLIS
        && (possibleRuns == 0 || route.kind().isRepeatable())
        && (!response.isBegun() || response.lastEventId().isPresent())
        && context.retries().tryRetry(service);
  }

  private void expire() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.expire();
    }
    if (response.isBegun()) {
      abort("deadline passed");
    } else {
      refuse(possibleRuns > 0 ? Refusal.EXPIRED : Refusal.EXPIRED_UNSENT, "deadline passed");
    }
  }

  private void refuse(Refusal refusal, String cause) {
    context.telemetry().recordRefusal(request.metadata().id(), refusal, cause, elapsedMillis());
    long waitMillis =
        service == null ? 0 : context.placement().waitMillis(service, context.time().nowMillis());
    caller.respond(RefusalResponse.of(refusal, waitMillis, context.random()));
    finish();
  }

  private void abort(String cause) {
    context.telemetry().recordAbort(request.metadata().id(), cause, elapsedMillis());
    caller.abort();
    finish();
  }

  private void finish() {
    done = true;
    deadlineTimer.cancel();
    request.body().release();
    response.release();
  }

  private long remainingMillis() {
    return deadlineAtMillis - context.time().nowMillis();
  }

  private long elapsedMillis() {
    return context.time().nowMillis() - request.receivedAtMillis();
  }

  /** Sends the request once to one upstream and handles its response. */
  private final class Attempt implements AttemptListener {
    private final Upstream upstream;
    private final UpstreamId upstreamId;
    private final Optional<InetSocketAddress> fetchSource;
    private final boolean throughPeer;
    private final BrittleUpstreams.InFlight inFlight;
    private UpstreamConnection connection;
    private TimerService.Subscription responseTimer = () -> {};
    private TimerService.Subscription silence = () -> {};
    private ResponseMetadata metadata;
    private HttpResponseStatus status;
    private long sentAtMillis;
    private long receivedAtMillis;
    private OptionalLong answerBegunAtMillis = OptionalLong.empty();
    private boolean ended;

    private Attempt(
        Upstream upstream,
        Optional<InetSocketAddress> fetchSource,
        boolean throughPeer,
        BrittleUpstreams.InFlight inFlight) {
      this.upstream = upstream;
      this.fetchSource = fetchSource;
      this.throughPeer = throughPeer;
      this.inFlight = inFlight;
      this.upstreamId = upstream.entry().id();
    }

    private void begin() {
      tried.add(upstreamId);
      upstream.load().recordStart(context.time().nowMillis());
      String requestId = request.metadata().id();
      if (throughPeer) {
        context
            .paths()
            .connectThroughPeer(upstream, requestId, this::connected, this::connectFailed);
      } else {
        context.paths().connect(upstream, requestId, this::connected, this::connectFailed);
      }
    }

    private void connected(UpstreamConnection opened) {
      connection = opened;
      if (ended) {
        connection.cancel();
        return;
      }
      sentAtMillis = context.time().nowMillis();
      if (version.isPresent() && upstream.isRemoved()) {
        context.telemetry().recordWithheldAttempt();
        end();
        connection.cancel();
        place();
        return;
      }
      if (!upstream.load().availability().admitsAsLastResort(sentAtMillis)) {
        context.telemetry().recordWithheldAttempt();
        end();
        connection.cancel();
        place();
        return;
      }
      if (refuseIfStopping()) {
        end();
        connection.cancel();
        return;
      }
      attempts++;
      possibleRuns++;
      upstream.load().availability().recordRequest(sentAtMillis);
      context.placement().recordSent(request.metadata().prompt(), upstream, sentAtMillis);
      connection.send(upstreamRequest(), request.metadata().id(), this);
      if (route.kind().isRepeatable() && !connection.isTunnelled()) {
        silence = context.paths().onSilence(upstream, this::zoneSilent);
      }
      if (route.kind().isRepeatable() && route.targetLatencyMillis() > 0) {
        long timeoutMillis = (long) (route.targetLatencyMillis() * RESPONSE_TIMEOUT_FACTOR);
        responseTimer = context.time().after(timeoutMillis, this::responseTimedOut);
      }
    }

    private FullHttpRequest upstreamRequest() {
      OptionalLong remainingMillis =
          deadlineAtMillis == Long.MAX_VALUE
              ? OptionalLong.empty()
              : OptionalLong.of(Math.max(1, remainingMillis()));
      OptionalInt priority =
          organisation
              .map(Organisation::priority)
              .filter(OptionalInt::isPresent)
              .orElse(OptionalInt.of(route.priority()));
      ForwardedMetadata forwardedMetadata =
          new ForwardedMetadata(
              upstreamId,
              remainingMillis,
              organisation.map(Organisation::name),
              priority,
              response.lastEventId().map(EventId::value),
              fetchSource);
      return request.toUpstream(
          context.headerCodec().toUpstream(request.http().headers(), forwardedMetadata));
    }

    private void responseTimedOut() {
      if (!ended && !done && metadata == null && canRetry()) {
        stop(true);
        recordOutcome(false, "no response within the latency objective");
        place();
      }
    }

    /**
     * Sends a repeatable request again whose connection no longer carries anything, unless its
     * stream has lately received an event.
     */
    private void zoneSilent() {
      if (ended || done || !context.zones().isSilent(upstream.entry().zone())) {
        return;
      }
      long quietMillis = context.time().nowMillis() - receivedAtMillis;
      if (metadata != null && quietMillis < QUIET_STREAM_MILLIS) {
        context.time().after(QUIET_STREAM_MILLIS - quietMillis, this::zoneSilent);
      } else if (canRetry()) {
        stop(true);
        response.reset();
        place();
      }
    }

    /** Ends the attempt at the deadline; an upstream that has not responded counts as failed. */
    private void expire() {
      if (!ended && connection != null && metadata == null) {
        recordOutcome(false, "no response before the deadline");
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
        connection.detach(remainingMillis());
      }
    }

    private void end() {
      ended = true;
      responseTimer.cancel();
      silence.cancel();
      upstream.load().recordEnd();
      inFlight.end(
          metadata != null
              && metadata.notRun()
              && status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE));
    }

    private void recordOutcome(boolean succeeded, String reason) {
      if (succeeded) {
        context.placement().outlierDetector(service).recordSuccess(upstreamId);
      } else {
        long now = context.time().nowMillis();
        context.placement().outlierDetector(service).recordFailure(upstreamId, now);
        context
            .telemetry()
            .recordFailedAttempt(request.metadata().id(), upstreamId, reason, elapsedMillis());
      }
    }

    @Override
    public void connectFailed(ConnectFailure failure) {
      if (ended) {
        return;
      }
      end();
      context.crashCheck().recordFailure(service, upstream, failure);
      context
          .telemetry()
          .recordFailedAttempt(
              request.metadata().id(), upstreamId, failure.reason(), elapsedMillis());
      if (!failure.tunnelled()) {
        unreached.add(upstream);
      }
      unreachableUpstreams++;
      if (unreachableUpstreams < MAX_UNREACHABLE_UPSTREAMS
          && remainingMillis() >= MIN_ATTEMPT_MILLIS) {
        place();
      } else if (remainingMillis() < MIN_ATTEMPT_MILLIS || !reachThroughPeer()) {
        refuseOrAbort("upstreams unreachable");
      }
    }

    @Override
    public void responseStarted(HttpResponse head, ResponseMetadata received) {
      metadata = received;
      status = head.status();
      receivedAtMillis = context.time().nowMillis();
      received
          .load()
          .ifPresent(
              it ->
                  upstream
                      .load()
                      .recordReport(it.running() + it.waiting(), context.time().nowMillis()));
      if (!status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        context
            .view()
            .brittle()
            .recordAnswer(
                service, upstream.incarnationKey(), received.statement(), receivedAtMillis);
      }
      response.setHead(head, route.kind().isStream());
    }

    @Override
    public void contentReceived(ByteBuf content) {
      if (ended || !canPassOn()) {
        content.release();
        return;
      }
      receivedAtMillis = context.time().nowMillis();
      if (answerBegunAtMillis.isEmpty()) {
        answerBegunAtMillis = OptionalLong.of(context.time().nowMillis());
      }
      Optional<String> error = response.add(content);
      if (error.isPresent()) {
        connection.cancel();
        responseFailed(error.get());
        return;
      }
      if (!caller.isWritable()) {
        connection.setReading(false);
      }
    }

    private boolean canPassOn() {
      return !metadata.notRun()
          && !isUnverifiedSuccess()
          && !isFailedContinuation()
          && !isReplaced();
    }

    /**
     * Returns whether the caller receives another response instead, whatever the body is: one whose
     * status must not guarantee that the request has not run, or that of another upstream.
     */
    private boolean isReplaced() {
      return status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)
          || guaranteesNotRun() && !route.kind().isRepeatable();
    }

    private boolean isUnverifiedSuccess() {
      return isSuccess() && (!metadata.hasReceipt() || metadata.encoded());
    }

    /**
     * Returns whether an upstream does not continue the stream. The caller has already received the
     * status of another upstream, so no other response may follow.
     */
    private boolean isFailedContinuation() {
      return response.isBegun() && !status.equals(response.head().status());
    }

    private boolean isSuccess() {
      return status.codeClass() == HttpStatusClass.SUCCESS;
    }

    @Override
    public void responseCompleted() {
      if (ended) {
        return;
      }
      end();
      if (metadata.notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        handleNotRun();
      } else if (isUnverifiedSuccess()) {
        handleFailure("success without a receipt");
      } else if (isFailedContinuation()) {
        handleFailure("continuation of the stream returned status " + status);
      } else if (status.codeClass() == HttpStatusClass.SERVER_ERROR || impliesNotRun()) {
        handleServerError();
      } else {
        deliver();
      }
    }

    private void deliver() {
      if (!response.end()) {
        suspectCrash();
        handleFailure("stream ended in the middle of an event");
        return;
      }
      recordOutcome(true, "");
      long now = context.time().nowMillis();
      if (isSuccess()) {
        boolean anySuspects = !context.view().crashes().isEmpty();
        context.view().recordAnswer(anySuspects ? suspects.all() : suspects.parts(), now);
      }
      upstream.load().recordDuration(now - sentAtMillis, now);
      if (request.metadata().prompt().isEmpty()) {
        long lateMillis = now - sentAtMillis - route.targetLatencyMillis();
        context.traffic().recordAnswer(service, upstream, lateMillis, now);
      }
      context
          .telemetry()
          .recordResponse(request.metadata().id(), status.code(), upstreamId, elapsedMillis());
      finish();
    }

    private void handleNotRun() {
      possibleRuns--;
      attempts--;
      response.reset();
      long now = context.time().nowMillis();
      OutlierDetector outlierDetector = context.placement().outlierDetector(service);
      if (status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
        outlierDetector.recordMisdirected(upstreamId, now);
      } else {
        outlierDetector.recordFailure(upstreamId, now);
        if (request.metadata().prompt().isEmpty()) {
          context.traffic().recordRejection(service, upstream, now);
        }
      }
      context
          .telemetry()
          .recordFailedAttempt(
              request.metadata().id(), upstreamId, "not run, " + status, elapsedMillis());
      boolean retry =
          remainingMillis() >= MIN_ATTEMPT_MILLIS && context.retries().tryRetry(service);
      if (retry) {
        place();
      } else {
        refuseOrAbort("upstream returned " + status);
      }
    }

    private boolean impliesNotRun() {
      return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
          || status.equals(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /** Returns whether callers take the status for a guarantee that the request has not run. */
    private boolean guaranteesNotRun() {
      return impliesNotRun() || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private void handleServerError() {
      recordOutcome(false, "returned " + status);
      if (canRetry()) {
        response.reset();
        place();
      } else if (guaranteesNotRun() && !route.kind().isRepeatable()) {
        refuse(
            Refusal.UPSTREAM_FAILED,
            "upstream returned " + status + " without marking the request as not run");
      } else {
        context
            .telemetry()
            .recordResponse(request.metadata().id(), status.code(), upstreamId, elapsedMillis());
        response.end();
        finish();
      }
    }

    @Override
    public void responseFailed(String reason) {
      if (!ended) {
        end();
        suspectCrash();
        handleFailure(reason);
      }
    }

    /**
     * Records a break that may be a crash that the request has caused, and checks whether it is.
     */
    private void suspectCrash() {
      long now = context.time().nowMillis();
      if (answerBegunAtMillis.isEmpty()
          || now - answerBegunAtMillis.getAsLong() < ANSWER_START_MILLIS) {
        context
            .view()
            .crashes()
            .recordBrokenAnswer(suspects.all(), upstream.incarnationKey(), sentAtMillis, now);
        context.crashCheck().start(service, upstream);
      }
    }

    private void handleFailure(String reason) {
      recordOutcome(false, reason);
      response.reset();
      if (!response.isBegun() && request.metadata().continuation().isEmpty()) {
        version = Optional.empty();
      }
      if (canRetry()) {
        place();
      } else {
        refuseOrAbort(reason);
      }
    }
  }
}
