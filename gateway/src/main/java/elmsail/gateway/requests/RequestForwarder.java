package elmsail.gateway.requests;

import elmsail.config.Route;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Attempt;
import elmsail.gateway.servers.AttemptListener;
import elmsail.gateway.servers.SelectionMode;
import elmsail.gateway.servers.Server;
import elmsail.runtime.Timers.Timer;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Set;

/**
 * One client's request from its choice of a first server to its one final answer. What may have run
 * is never run again unless it may be repeated, and never answered with a promise that it has not
 * run.
 */
final class RequestForwarder implements RequestHandle, AttemptListener {
  /** Tries that never left and do not count for the route's own bound. */
  private static final int MAX_NOT_SENT_ATTEMPTS = 6;

  /** With less time left nothing more is sent. */
  private static final long MIN_REMAINING_MS = 5;

  /** Of requests; behind it stand jobs' items. */
  private static final int MAX_REQUEST_PRIORITY = 7;

  private static final long CHECK_INTERVAL_MS = 200;

  /** A look that comes so late says more of this process than of any server. */
  private static final long MAX_CHECK_DELAY_MS = 150;

  private final RequestContext context;
  private final Route route;
  private final ClientRequest request;
  private final ResponseRelay relay;
  private final Set<Server> attemptedServers = new HashSet<>();
  private final long deadlineAt;
  private Timer deadlineTimer;
  private Timer checkTimer;
  private Attempt attempt;
  private int sentAttempts;
  private int notSentAttempts;
  private boolean mayHaveRun;

  /** The first server's error, while the request is retried, or null. */
  private RetainedErrorResponse firstError;

  private boolean finished;

  RequestForwarder(
      RequestContext context,
      Route route,
      ReceivedRequest received,
      String id,
      long deadlineAt,
      ResponseSink client) {
    this.context = context;
    this.route = route;
    this.deadlineAt = deadlineAt;
    request =
        new ClientRequest(
            id,
            received.method(),
            received.uri(),
            received.headers(),
            received.body(),
            Math.min(MAX_REQUEST_PRIORITY, 1 + Math.max(0, route.priority())),
            false,
            context.timers(),
            deadlineAt);
    boolean stream = route.kind() == Route.Kind.STREAM;
    relay = new ResponseRelay(client, stream, stream && route.resumable());
  }

  void start() {
    long remainingMs = deadlineAt - context.timers().now();
    if (remainingMs <= 0) {
      reject(RequestCounters.Event.REJECTED_NOT_RUN);
      return;
    }
    deadlineTimer = context.timers().schedule(remainingMs, this::onDeadline);
    startAttempt();
    if (!finished && route.isIdempotent()) {
      checkTimer(context.timers().now());
    }
  }

  /** Looks now and then whether the server has gone dark, so that the rest may be had elsewhere. */
  private void checkTimer(long lastCheckAt) {
    checkTimer =
        context
            .timers()
            .schedule(
                CHECK_INTERVAL_MS,
                () -> {
                  long now = context.timers().now();
                  boolean late = now - lastCheckAt > CHECK_INTERVAL_MS + MAX_CHECK_DELAY_MS;
                  if (!late
                      && attempt != null
                      && attempt.isSent()
                      && attempt.server().isUnresponsive(now)
                      && hasRetryTarget()) {
                    context.counters().count(RequestCounters.Event.SERVER_UNRESPONSIVE);
                    attempt.timedOut(now);
                    onFailure(true);
                  }
                  if (!finished) {
                    checkTimer(now);
                  }
                });
  }

  /** Whether one more server is allowed and there. */
  private boolean hasRetryTarget() {
    Server other =
        retryAllowed() ? context.servers().pick(route, request.prompt(), attemptedServers) : null;
    return other != null && !context.servers().isUnhealthy(other);
  }

  private boolean retryAllowed() {
    return sentAttempts + 1 < route.maxAttempts();
  }

  /** An error of the server that gets the request next is made up for if it may be retried. */
  private SelectionMode selectionMode() {
    if (firstError != null) {
      return SelectionMode.AFTER_ERROR;
    }
    boolean retried = route.isIdempotent() && retryAllowed() && relay.lastEventId() < 0;
    return retried ? SelectionMode.PROBE_PREFERRED : SelectionMode.NOT_RETRYABLE;
  }

  private void startAttempt() {
    boolean exhausted =
        sentAttempts >= Math.max(1, route.maxAttempts())
            || notSentAttempts >= MAX_NOT_SENT_ATTEMPTS
            || mayHaveRun && !route.isIdempotent()
            || deadlineAt - context.timers().now() < MIN_REMAINING_MS;
    Server server =
        exhausted
            ? null
            : context.servers().pick(route, request.prompt(), attemptedServers, selectionMode());
    if (server == null) {
      giveUp();
      return;
    }
    if (attemptedServers.isEmpty()
        && context.servers().rejects(server, request.prompt(), route.latencyTargetMs())) {
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

  private void giveUp() {
    if (relay.hasStarted()) {
      abort();
    } else if (firstError != null) {
      relayFirstError();
    } else if (mayHaveRun) {
      sendLocalReply(
          AttemptOutcome.localReplyStatus(true, false), RequestCounters.Event.BAD_GATEWAY);
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
          status == 503
              ? RequestCounters.Event.REJECTED_NOT_RUN
              : RequestCounters.Event.BAD_GATEWAY);
    }
  }

  /** The retry came to nothing: the first server's answer stands. */
  private void relayFirstError() {
    RetainedErrorResponse error = firstError;
    firstError = null;
    finish();
    context.counters().count(RequestCounters.Event.SERVED);
    error.sendTo(relay.client());
  }

  private void reject(RequestCounters.Event reason) {
    sendLocalReply(503, reason);
  }

  private void sendLocalReply(int status, RequestCounters.Event reason) {
    finish();
    context.counters().count(reason);
    double retryAfterSeconds =
        context.servers().hasAny()
            ? LocalReplies.retryAfterSeconds(context.random())
            : LocalReplies.startupRetryAfterSeconds(context.random());
    LocalReplies.send(relay.client(), status, request.id(), status == 503 ? retryAfterSeconds : 0);
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
    if (checkTimer != null) {
      checkTimer.cancel();
    }
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

  /** What came is not to be passed on: the try is as good as broken. */
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
        startAttempt();
      }
      default -> onFailure(true);
    }
  }

  /** Retries the request elsewhere if the answer is a server's error and that may mend it. */
  private boolean retryAfterError() {
    boolean timeLeft = deadlineAt - context.timers().now() >= MIN_REMAINING_MS;
    boolean mayRetry = firstError == null && route.isIdempotent() && timeLeft;
    if (!mayRetry || !relay.hasRetryableError() || !hasRetryTarget()) {
      return false;
    }
    firstError = relay.takeError();
    context.counters().count(RequestCounters.Event.RETRIED_AFTER_ERROR);
    attempt = null;
    mayHaveRun = true;
    sentAttempts++;
    startAttempt();
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
      startAttempt();
    }
  }
}
