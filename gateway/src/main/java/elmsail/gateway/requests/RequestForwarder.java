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
  private static final int MOST_UNSENT = 6;

  /** With less time left nothing more is sent. */
  private static final long LEAST_MS = 5;

  /** Of requests; behind it stand jobs' items. */
  private static final int LEAST_URGENT = 7;

  private static final long WATCH_MS = 200;

  /** A look that comes so late says more of this process than of any server. */
  private static final long LATE_MS = 150;

  private final RequestProgress course;
  private final Route route;
  private final ClientRequest letter;
  private final ResponseRelay passing;
  private final Set<Server> been = new HashSet<>();
  private final long endsAt;
  private Timer end;
  private Timer watch;
  private Attempt now;
  private int sentTo;
  private int unsent;
  private boolean mayHaveRun;

  /** The first server's error, while the request is retried, or null. */
  private HeldFailure failure;

  private boolean over;

  RequestForwarder(
      RequestProgress course,
      Route route,
      RequestLine asked,
      String id,
      long endsAt,
      ResponseSink client) {
    this.course = course;
    this.route = route;
    this.endsAt = endsAt;
    letter =
        new ClientRequest(
            id,
            asked.method(),
            asked.uri(),
            asked.headers(),
            asked.body(),
            Math.min(LEAST_URGENT, 1 + Math.max(0, route.priority())),
            false,
            course.timers(),
            endsAt);
    boolean stream = route.kind() == Route.Kind.STREAM;
    passing = new ResponseRelay(client, stream, stream && route.resumable());
  }

  void start() {
    long left = endsAt - course.timers().now();
    if (left <= 0) {
      refuse(RequestCounters.Event.REFUSED_NOT_RUN);
      return;
    }
    end = course.timers().schedule(left, this::timeOver);
    next();
    if (!over && route.isIdempotent()) {
      watch(course.timers().now());
    }
  }

  /** Looks now and then whether the server has gone dark, so that the rest may be had elsewhere. */
  private void watch(long lastLook) {
    watch =
        course
            .timers()
            .schedule(
                WATCH_MS,
                () -> {
                  long at = course.timers().now();
                  boolean late = at - lastLook > WATCH_MS + LATE_MS;
                  if (!late && now != null && now.sent() && now.server().dark(at) && mayGoOn()) {
                    course.counters().count(RequestCounters.Event.GONE_DARK);
                    now.timedOut(at);
                    failed(true);
                  }
                  if (!over) {
                    watch(at);
                  }
                });
  }

  /** Whether one more server is allowed and there. */
  private boolean mayGoOn() {
    Server other = oneMoreAllowed() ? course.servers().choose(route, letter.prompt(), been) : null;
    return other != null && !course.servers().avoided(other);
  }

  private boolean oneMoreAllowed() {
    return sentTo + 1 < route.maxAttempts();
  }

  /** An error of the server that gets the request next is made up for if it may be retried. */
  private SelectionMode selectionMode() {
    if (failure != null) {
      return SelectionMode.AFTER_ERROR;
    }
    boolean retried = route.isIdempotent() && oneMoreAllowed() && passing.lastEvent() < 0;
    return retried ? SelectionMode.PROBE_PREFERRED : SelectionMode.SINGLE;
  }

  private void next() {
    boolean spent =
        sentTo >= Math.max(1, route.maxAttempts())
            || unsent >= MOST_UNSENT
            || mayHaveRun && !route.isIdempotent()
            || endsAt - course.timers().now() < LEAST_MS;
    Server server =
        spent ? null : course.servers().choose(route, letter.prompt(), been, selectionMode());
    if (server == null) {
      giveUp();
      return;
    }
    if (been.isEmpty() && course.servers().refuses(server, letter.prompt(), route.latencyTargetMs())) {
      refuse(RequestCounters.Event.REFUSED_FULL);
      return;
    }
    been.add(server);
    if (passing.lastEvent() >= 0) {
      letter.goOnBehind(passing.lastEvent());
      course.counters().count(RequestCounters.Event.RESUMED);
    }
    passing.nextTry();
    now = course.servers().start(server, letter, this);
    now.pause(!passing.wanted());
  }

  private void giveUp() {
    if (passing.begun()) {
      breakOff();
    } else if (failure != null) {
      passOnFailure();
    } else if (mayHaveRun) {
      own(Outcome.ownStatus(true, false), RequestCounters.Event.BAD_GATEWAY);
    } else {
      refuse(
          sentTo > 0
              ? RequestCounters.Event.REFUSED_NOT_RUN
              : RequestCounters.Event.REFUSED_NO_SERVER);
    }
  }

  private void timeOver() {
    if (over) {
      return;
    }
    boolean sent = now != null && now.sent();
    if (now != null) {
      now.timedOut(course.timers().now());
    }
    course.counters().count(RequestCounters.Event.TIMED_OUT);
    if (passing.begun()) {
      breakOff();
    } else if (failure != null) {
      passOnFailure();
    } else {
      int status = Outcome.ownStatus(mayHaveRun || sent, true);
      own(
          status,
          status == 503
              ? RequestCounters.Event.REFUSED_NOT_RUN
              : RequestCounters.Event.BAD_GATEWAY);
    }
  }

  /** The retry came to nothing: the first server's answer stands. */
  private void passOnFailure() {
    HeldFailure answer = failure;
    failure = null;
    finish();
    course.counters().count(RequestCounters.Event.SERVED);
    answer.passOn(passing.client());
  }

  private void refuse(RequestCounters.Event why) {
    own(503, why);
  }

  private void own(int status, RequestCounters.Event why) {
    finish();
    course.counters().count(why);
    double back =
        course.servers().any() ? Replies.soon(course.chance()) : Replies.starting(course.chance());
    Replies.own(passing.client(), status, letter.id(), status == 503 ? back : 0);
  }

  private void breakOff() {
    finish();
    course.counters().count(RequestCounters.Event.BROKEN_OFF);
    passing.client().breakOff();
  }

  private void finish() {
    over = true;
    now = null;
    passing.drop();
    if (failure != null) {
      failure.release();
      failure = null;
    }
    if (end != null) {
      end.cancel();
    }
    if (watch != null) {
      watch.cancel();
    }
  }

  @Override
  public void left() {
    if (!over) {
      course.counters().count(RequestCounters.Event.CLIENT_LEFT);
      if (now != null) {
        now.cancel();
      }
      finish();
    }
  }

  @Override
  public void writable(boolean on) {
    if (now != null && !over) {
      now.pause(!on);
    }
  }

  @Override
  public void head(HttpResponse head) {
    if (!passing.head(head)) {
      fault();
    }
  }

  @Override
  public void data(ByteBuf piece) {
    if (!passing.data(piece)) {
      fault();
    }
  }

  /** What came is not to be passed on: the try is as good as broken. */
  private void fault() {
    if (now != null) {
      now.cancel();
    }
    failed(true);
  }

  @Override
  public void whole() {
    if (retryAfterError()) {
      return;
    }
    switch (passing.whole()) {
      case ANSWERED -> {
        finish();
        course.counters().count(RequestCounters.Event.SERVED);
      }
      case NOT_RUN -> {
        course.counters().count(RequestCounters.Event.TRY_NOT_RUN);
        sentTo++;
        next();
      }
      default -> failed(true);
    }
  }

  /** Retries the request elsewhere if the answer is a server's error and that may mend it. */
  private boolean retryAfterError() {
    boolean timeLeft = endsAt - course.timers().now() >= LEAST_MS;
    boolean mayRetry = failure == null && route.isIdempotent() && timeLeft;
    if (!mayRetry || !passing.holdsFailure() || !mayGoOn()) {
      return false;
    }
    failure = passing.takeFailure();
    course.counters().count(RequestCounters.Event.RETRIED_AFTER_ERROR);
    now = null;
    mayHaveRun = true;
    sentTo++;
    next();
    return true;
  }

  @Override
  public void failed(boolean sent) {
    if (over) {
      return;
    }
    now = null;
    course
        .counters()
        .count(sent ? RequestCounters.Event.TRY_SENT_FAILED : RequestCounters.Event.TRY_UNSENT);
    mayHaveRun |= sent;
    sentTo += sent ? 1 : 0;
    unsent += sent ? 0 : 1;
    if (passing.outOfOrder()) {
      breakOff();
    } else {
      next();
    }
  }
}
