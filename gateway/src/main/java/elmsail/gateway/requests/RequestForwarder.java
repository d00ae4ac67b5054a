package elmsail.gateway.requests;

import elmsail.config.Route;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Attempt;
import elmsail.gateway.servers.AttemptListener;
import elmsail.gateway.servers.Server;
import elmsail.runtime.Timers.Timer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards one client request: makes one attempt after the other, each at a server that is picked
 * for it, and ends with exactly one response, that of a server or a local reply. A request that may
 * have run is retried only on idempotent routes, and its reply never has a status that tells the
 * client that the request has not run, such as 503. {@link RetryPolicy} decides about retries.
 * Owned by the gateway's event loop.
 */
final class RequestForwarder implements RequestHandle, AttemptListener {
  private static final long CHECK_INTERVAL_MS = 200;

  private final RequestContext context;
  private final Route route;
  private final ClientRequest request;
  private final ResponseRelay relay;
  private final Set<Server> attemptedServers = new HashSet<>();

  private Timer deadlineTimer;
  private final PeriodicCheck serverCheck;

  /** The attempt in flight, or null. */
  private Attempt attempt;

  private int sentAttempts;
  private int notSentAttempts;
  private boolean mayHaveRun;

  /** The first server's error response while the request is retried, or null. */
  private RetainedErrorResponse firstError;

  private boolean finished;

  /** Creates a forwarder that makes no attempt before {@link #start}. */
  RequestForwarder(
      RequestContext context, Route route, ClientRequest request, ResponseSink client) {
    this.context = context;
    this.route = route;
    this.request = request;
    boolean stream = route.kind() == Route.Kind.STREAM;
    relay = new ResponseRelay(client, stream, stream && route.resumable(), this::onResponseStarted);
    serverCheck = new PeriodicCheck(context.timers(), CHECK_INTERVAL_MS, this::checkServer);
  }

  /** Starts the first attempt, or sends a local reply if no attempt can be made. */
  void start() {
    long remainingMs = remainingMs();
    if (remainingMs <= 0) {
      reject(RequestCounters.Event.REJECTED_NOT_RUN);
      return;
    }
    deadlineTimer = context.timers().schedule(remainingMs, this::onDeadline);
    startAttempt();
    if (!finished && route.isIdempotent()) {
      serverCheck.start();
    }
  }

  /** The name of the tenant that the request is served for; empty if there is none. */
  Optional<String> tenantName() {
    return request.tenantName();
  }

  private void onResponseStarted() {
    tenantName().ifPresent(context.usage()::onRequestStarted);
  }

  private long remainingMs() {
    return request.deadlineAt() - context.timers().now();
  }

  /** Fails an attempt at an unresponsive server if the request can be retried at another one. */
  private void checkServer() {
    long now = context.timers().now();
    if (attempt != null
        && attempt.isSent()
        && attempt.server().isUnresponsive(now)
        && hasRetryTarget()) {
      context.counters().count(RequestCounters.Event.SERVER_UNRESPONSIVE);
      attempt.timedOut(now);
      onFailure(true);
    }
  }

  /**
   * Whether the key and the route allow one more attempt and a healthy server is available for it.
   * Like each pick, this call advances the route's round robin.
   */
  private boolean hasRetryTarget() {
    return !(authenticate() instanceof Authentication.Refused)
        && RetryPolicy.allowsOneMore(route, sentAttempts)
        && context
            .picker()
            .pick(route, request.prompt(), attemptedServers)
            .filter(other -> !context.picker().isUnhealthy(other))
            .isPresent();
  }

  /** Authenticates the request by the current configuration. */
  private Authentication authenticate() {
    return context.authenticator().authenticate(route, request.credentials());
  }

  private void startFurtherAttempt() {
    Authentication authentication = authenticate();
    if (authentication instanceof Authentication.Refused refused) {
      onKeyRevoked(refused.reason());
    } else {
      request.authenticateAs(authentication);
      startAttempt();
    }
  }

  private void onKeyRevoked(Authentication.Reason reason) {
    context.counters().count(RequestCounters.Event.KEY_REVOKED);
    if (mayHaveRun) {
      giveUp();
    } else {
      sendLocalReply(reason.status(), reason.event());
    }
  }

  private void startAttempt() {
    Optional<Server> picked = pickServer();
    if (picked.isEmpty()) {
      giveUp();
      return;
    }
    Server server = picked.get();
    if (attemptedServers.isEmpty()
        && context.picker().rejects(server, request.prompt(), route.latencyTargetMs())) {
      reject(RequestCounters.Event.REJECTED_OVERLOADED);
      return;
    }
    attemptedServers.add(server);
    if (relay.lastEventId() >= 0) {
      request.resumeAfter(relay.lastEventId());
      context.counters().count(RequestCounters.Event.RESUMED);
    }
    relay.prepareNextAttempt();
    attempt = context.servers().start(server, request, this);
    attempt.setReadPaused(!relay.clientAcceptsData());
  }

  /** The next attempt's server; empty if no attempt may start or no server can be picked. */
  private Optional<Server> pickServer() {
    if (RetryPolicy.isExhausted(route, sentAttempts, notSentAttempts, mayHaveRun, remainingMs())) {
      return Optional.empty();
    }
    boolean resumes = relay.lastEventId() >= 0;
    return context
        .picker()
        .pick(
            route,
            request.prompt(),
            attemptedServers,
            RetryPolicy.selectionMode(route, sentAttempts, firstError != null, resumes));
  }

  private void giveUp() {
    if (relay.hasStarted()) {
      abort();
    } else if (firstError != null) {
      relayFirstError();
    } else if (mayHaveRun) {
      int status = AttemptOutcome.localReplyStatus(true, false);
      sendLocalReply(status, RequestCounters.Event.BAD_GATEWAY);
    } else {
      reject(
          sentAttempts > 0
              ? RequestCounters.Event.REJECTED_NOT_RUN
              : RequestCounters.Event.REJECTED_NO_SERVER);
    }
  }

  private void onDeadline() {
    if (finished) {
      return;
    }
    boolean sent = attempt != null && attempt.isSent();
    if (attempt != null) {
      attempt.timedOut(context.timers().now());
    }
    context.counters().count(RequestCounters.Event.DEADLINE_EXCEEDED);
    if (relay.hasStarted()) {
      abort();
    } else if (firstError != null) {
      relayFirstError();
    } else {
      int status = AttemptOutcome.localReplyStatus(mayHaveRun || sent, true);
      sendLocalReply(
          status,
          status == LocalReplies.SERVICE_UNAVAILABLE
              ? RequestCounters.Event.REJECTED_NOT_RUN
              : RequestCounters.Event.BAD_GATEWAY);
    }
  }

  /** Relays the first server's error response after the retry has failed. */
  private void relayFirstError() {
    RetainedErrorResponse error = firstError;
    firstError = null;
    finish();
    context.counters().count(RequestCounters.Event.SERVED);
    error.sendTo(relay.client());
  }

  private void reject(RequestCounters.Event reason) {
    sendLocalReply(LocalReplies.SERVICE_UNAVAILABLE, reason);
  }

  private void sendLocalReply(int status, RequestCounters.Event reason) {
    finish();
    context.counters().count(reason);
    double retryAfterSeconds =
        context.servers().hasAny()
            ? LocalReplies.retryAfterSeconds(context.random())
            : LocalReplies.startupRetryAfterSeconds(context.random());
    boolean unavailable = status == LocalReplies.SERVICE_UNAVAILABLE;
    LocalReplies.send(relay.client(), status, request.id(), unavailable ? retryAfterSeconds : 0);
  }

  private void abort() {
    finish();
    context.counters().count(RequestCounters.Event.RESPONSE_ABORTED);
    relay.client().abort();
  }

  private void finish() {
    finished = true;
    attempt = null;
    relay.discard();
    if (firstError != null) {
      firstError.release();
      firstError = null;
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    serverCheck.cancel();
  }

  @Override
  public void onClientDisconnect() {
    if (!finished) {
      context.counters().count(RequestCounters.Event.CLIENT_DISCONNECTED);
      if (attempt != null) {
        attempt.cancel();
      }
      finish();
    }
  }

  @Override
  public void onWritabilityChanged(boolean writable) {
    if (attempt != null && !finished) {
      attempt.setReadPaused(!writable);
    }
  }

  @Override
  public void onHead(HttpResponse head) {
    if (!relay.onHead(head)) {
      onUnusableResponse();
    }
  }

  @Override
  public void onData(ByteBuf bytes) {
    if (!relay.onData(bytes)) {
      onUnusableResponse();
    }
  }

  /** The response must not be relayed: the attempt counts as sent and failed. */
  private void onUnusableResponse() {
    if (attempt != null) {
      attempt.cancel();
    }
    onFailure(true);
  }

  @Override
  public void onComplete() {
    if (retryAfterError()) {
      return;
    }
    switch (relay.onComplete()) {
      case RESPONDED -> {
        finish();
        context.counters().count(RequestCounters.Event.SERVED);
      }
      case NOT_RUN -> {
        context.counters().count(RequestCounters.Event.ATTEMPT_NOT_RUN);
        sentAttempts++;
        startFurtherAttempt();
      }
      default -> onFailure(true);
    }
  }

  /** Retries the request if the response is an error that another server might not return. */
  private boolean retryAfterError() {
    boolean mayRetry = firstError == null && RetryPolicy.allowsErrorRetry(route, remainingMs());
    if (!mayRetry || !relay.hasRetryableError() || !hasRetryTarget()) {
      return false;
    }
    firstError = relay.takeError();
    context.counters().count(RequestCounters.Event.RETRIED_AFTER_ERROR);
    attempt = null;
    mayHaveRun = true;
    sentAttempts++;
    startFurtherAttempt();
    return true;
  }

  @Override
  public void onFailure(boolean sent) {
    if (finished) {
      return;
    }
    attempt = null;
    context
        .counters()
        .count(
            sent
                ? RequestCounters.Event.ATTEMPT_SENT_FAILED
                : RequestCounters.Event.ATTEMPT_NOT_SENT);
    mayHaveRun |= sent;
    sentAttempts += sent ? 1 : 0;
    notSentAttempts += sent ? 0 : 1;
    if (relay.isOutOfOrder()) {
      abort();
    } else {
      startFurtherAttempt();
    }
  }
}
