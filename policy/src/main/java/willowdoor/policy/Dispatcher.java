package willowdoor.policy;

import java.util.*;
import willowdoor.policy.DecisionStats.*;
import willowdoor.policy.GatewayApi.*;
import willowdoor.policy.PendingRequest.Attempt;

/** Sends the admitted requests to backends: attempts, retries and final answers. */
final class Dispatcher {
  /**
   * Retry budget: tokens earned by each first attempt, and the most tokens that all gateways
   * together may save.
   */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.15, FLEET_RETRY_TOKENS = 30;

  /**
   * A repeatable first attempt is cancelled after this share of the latency objective, so that
   * there is time for a second one.
   */
  private static final double FIRST_ATTEMPT_SHARE = 0.65;

  /**
   * A request waits for a usable backend for at most this share of its latency objective before it
   * is refused.
   */
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
   * Forgets the request. If it still waits for the counter, it must not be sent when the counter
   * answers.
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

  /**
   * From now on the duration of the attempt depends on the client, and no further attempt follows.
   */
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
   * Sends the final answer if no attempt follows: a refusal if the client can safely retry, else a
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
   * Cancels an attempt if its backend has answered nothing since the attempt was sent and there is
   * time for a second one. Covers crashed, unreachable and stalled backends. Cost: a single slow
   * request looks the same; the retry budget limits such cancellations.
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
