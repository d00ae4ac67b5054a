package willowdoor.policy;

import java.util.*;
import willowdoor.policy.DecisionStats.*;
import willowdoor.policy.GatewayApi.*;
import willowdoor.policy.PendingRequest.Attempt;

/** The open requests that were let in: their attempts, repeats, and final answers. */
final class Dispatcher {
  /**
   * Further attempts for each request, earned by first attempts, and how many the fleet may save
   * up.
   */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.15, FLEET_RETRY_TOKENS = 30;

  /**
   * A first attempt that can be repeated is given up after this share of the aim, so that a second
   * fits.
   */
  private static final double FIRST_ATTEMPT_SHARE = 0.65;

  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double BACKEND_WAIT_SHARE = 0.4;

  private final Context ctx;
  private final BackendRegistry backends;
  private final BackendSelector selector;
  final LinkedHashMap<String, PendingRequest> openRequests = new LinkedHashMap<>();
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final double maxRetryTokens;
  private double retryTokens;

  Dispatcher(Context ctx, BackendRegistry backends) {
    this.ctx = ctx;
    this.backends = backends;
    selector = new BackendSelector(ctx, backends);
    retryTokens =
        maxRetryTokens = Math.max(1, FLEET_RETRY_TOKENS / Math.max(1, ctx.settings.gateways()));
  }

  void dispatch(PendingRequest pending) {
    Backend backend = selector.select(pending);
    pending.waitingForBackend = backend == null && !pending.deadlineNear(ctx.now);
    if (backend != null) {
      send(pending, backend);
    } else if (!pending.waitingForBackend) {
      giveUp(pending);
    }
  }

  private void send(PendingRequest pending, Backend backend) {
    double remainingMs = pending.request.deadlineMs() - ctx.now - PendingRequest.DEADLINE_MARGIN_MS;
    if (remainingMs <= 0 || pending.attemptCount >= ctx.settings.options().maxAttempts()) {
      giveUp(pending);
      return;
    }
    backends.slowStart.onSend(backend);
    double tokenCost =
        pending.attemptCount == 0 ? -RETRY_TOKENS_PER_REQUEST : pending.connectFailed ? 0 : 1;
    retryTokens = Math.min(maxRetryTokens, retryTokens - tokenCost);
    pending.connectFailed = false;
    Attempt attempt = new Attempt(pending, pending.attemptCount, backend, ctx.now);
    pending.attemptCount++;
    pending.currentAttempt = attempt;
    pending.lastBackend = backend;
    pending.quota.openAttempts++;
    ctx.load.inFlight++;
    backend.inFlight.add(attempt);
    attempts.put(pending.request.id() + "#" + attempt.number(), attempt);
    ctx.actions.add(
        new Send(
            pending.request.id(),
            backend.id,
            remainingMs,
            pending.deduplicatedUntil - PendingRequest.DEADLINE_MARGIN_MS));
  }

  /**
   * A request that ended while it waited for the counter must not be sent when the answer comes.
   */
  void onClientDisconnected(String id) {
    PendingRequest pending = openRequests.remove(id);
    if (pending != null) {
      pending.waitingForCounter = false;
      pending.refundUnits();
    }
  }

  void onOutcome(Outcome outcome) {
    Attempt attempt = attempts.remove(outcome.request() + "#" + outcome.attempt());
    if (attempt == null) {
      return;
    }
    PendingRequest pending = attempt.pending();
    Backend backend = attempt.backend();
    backend.inFlight.remove(attempt);
    pending.quota.openAttempts--;
    double pauseMs = ctx.stallDetector.pauseAfter(attempt.sentAt(), ctx.now);
    ctx.load.onOutcome(outcome, attempt.sentAt(), pending.objectiveMs(), pauseMs, ctx.now);
    pending.currentAttempt = pending.currentAttempt == attempt ? null : pending.currentAttempt;
    if (!backends.excluded(backend.id)) {
      backend.onOutcome(outcome, attempt.sentAt(), pauseMs);
    }
    if (outcome.status() == Status.OK && pending.chargedToQuota && outcome.actualUnits() > 0) {
      pending.quota.settle(outcome.actualUnits() - pending.request.units());
    }
    pending.mayHaveRun |= !outcome.status().provesNotRun();
    if (pending.mayHaveRun
        && pending.requestClass.retrySafety() == RetrySafety.KEYED
        && pending.firstBackend == null) {
      pending.firstBackend = backend;
      pending.deduplicatedUntil = attempt.sentAt() + pending.requestClass.deduplicationWindowMs();
    }
    pending.connectFailed = outcome.status() == Status.UNREACHABLE;
    if (outcome.requestDone()) {
      openRequests.remove(outcome.request());
    } else if (openRequests.containsKey(outcome.request())) {
      retryOrGiveUp(pending);
    }
  }

  /** From now on the attempt takes the client's time, and is the request's last. */
  void onStreamStarted(StreamStarted e) {
    Attempt attempt = attempts.get(e.request() + "#" + e.attempt());
    if (attempt != null) {
      attempt.pending().streaming = true;
      attempt.backend().inFlight.remove(attempt);
    }
  }

  private void retryOrGiveUp(PendingRequest pending) {
    boolean allowed =
        !pending.mayHaveRun
            || pending.requestClass.retrySafety() == RetrySafety.SAFE
            || pending.requestClass.retrySafety() == RetrySafety.KEYED
                && ctx.now < pending.deduplicatedUntil - PendingRequest.DEADLINE_MARGIN_MS;
    double remainingMs = pending.request.deadlineMs() - ctx.now,
        neededMs = ctx.load.serviceMs / 2 + PendingRequest.DEADLINE_MARGIN_MS;
    if (pending.streaming
        || !allowed
        || retryTokens < 1 && !pending.connectFailed
        || remainingMs < neededMs) {
      giveUp(pending);
    } else {
      dispatch(pending);
    }
  }

  /**
   * The final answer when no attempt will follow: a refusal where that promise holds, else a
   * failure.
   */
  private void giveUp(PendingRequest pending) {
    if (pending.deadlineNear(ctx.now)) {
      ExpiryStage stage =
          pending.attemptCount == 0
              ? pending.counterCallOpen ? ExpiryStage.COUNTER : ExpiryStage.HELD
              : pending.connectFailed ? ExpiryStage.CONNECT : ExpiryStage.ANSWER;
      ctx.stats.expired[stage.ordinal()]++;
    }
    boolean retryIsSafe =
        !pending.mayHaveRun
            || pending.requestClass.retrySafety() == RetrySafety.SAFE
            || pending.requestClass.retrySafety() == RetrySafety.KEYED
                && pending.requestClass.deduplicationScope() == DeduplicationScope.ALL
                && ctx.now < pending.deduplicatedUntil;
    if (retryIsSafe) {
      refuse(
          pending,
          pending.attemptCount == 0 ? RefusalReason.NO_BACKEND : RefusalReason.GIVEN_UP,
          0);
    } else {
      openRequests.remove(pending.request.id());
      ctx.actions.add(new Fail(pending.request.id()));
    }
  }

  void refuse(PendingRequest pending, RefusalReason reason, double retryAfterMs) {
    ctx.stats.refused[reason.ordinal()]++;
    pending.refundUnits();
    openRequests.remove(pending.request.id());
    GatewayOptions options = ctx.settings.options();
    ctx.actions.add(
        new Refuse(
            pending.request.id(),
            options.retryAfter() ? Math.min(retryAfterMs, options.maxRetryAfterMs()) : 0));
  }

  void onTick(PendingRequest pending) {
    if (pending.currentAttempt != null) {
      cancelUnresponsive(pending);
    } else if (pending.waitingForBackend
        && (pending.deadlineNear(ctx.now)
            || ctx.now - pending.receivedAt > BACKEND_WAIT_SHARE * pending.objectiveMs())) {
      giveUp(pending);
    } else if (pending.waitingForBackend) {
      dispatch(pending);
    }
  }

  /**
   * Takes an attempt back from a backend that has answered nothing since it was sent, if a second
   * fits. Guards against dead, cut off and stalled backends. Harm: one slow request looks the same;
   * budgeted.
   */
  private void cancelUnresponsive(PendingRequest pending) {
    Attempt attempt = pending.currentAttempt;
    if (attempt.backend().lastAnswerAt <= attempt.sentAt()
        && ctx.now - attempt.sentAt() > pending.objectiveMs() * FIRST_ATTEMPT_SHARE
        && !pending.cancelled
        && !pending.streaming
        && ctx.settings.options().cancel()
        && pending.requestClass.retrySafety() != RetrySafety.UNSAFE
        && retryTokens >= 1) {
      pending.cancelled = true;
      ctx.actions.add(new Cancel(pending.request.id(), attempt.number()));
    }
  }
}
