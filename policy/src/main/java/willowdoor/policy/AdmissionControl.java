package willowdoor.policy;

import willowdoor.policy.DecisionStats.*;
import willowdoor.policy.GatewayApi.*;

/**
 * Admits or refuses requests by the expected wait, the customer's open limit, its quota and its
 * ceiling.
 */
record AdmissionControl(Context ctx, CounterSync counterSync, Dispatcher dispatcher) {
  /**
   * A request waits for the counter for at most this share of its latency objective; the rest is
   * left for the backends.
   */
  private static final double COUNTER_WAIT_SHARE = 0.06;

  void onRequest(Request request) {
    PendingRequest pending =
        new PendingRequest(
            request, ctx.requestClass(request), counterSync.quotaOf(request), ctx.now);
    dispatcher.openRequests.put(request.id(), pending);
    ctx.load.onRequest(pending.value(), request.units(), ctx.now);
    if (dispatcher.openRequests.size() >= ctx.settings.options().maxOpen()) {
      dispatcher.refuse(pending, RefusalReason.FULL, 0);
    } else if (pending.deadlineNear(ctx.now)) {
      ctx.stats.expired[ExpiryStage.ARRIVAL.ordinal()]++;
      dispatcher.refuse(pending, RefusalReason.LATE, 0);
    } else if (ctx.load.isOverloaded(pending.value(), 0, ctx.now)) {
      dispatcher.refuse(pending, RefusalReason.PRESSED, 0);
    } else {
      checkQuota(pending);
    }
  }

  private void checkQuota(PendingRequest pending) {
    CustomerQuota quota = pending.quota;
    if ((!quota.usesSharedCounter() || quota.plan.rate() <= 0 || quota.sharedCountIsCurrent())
        && quota.openLimitReached()) {
      handleOverQuota(pending, RefusalReason.OPEN_LIMIT);
    } else if (quota.plan.rate() <= 0 && quota.plan.ceilingRate() <= 0) {
      dispatcher.dispatch(pending);
    } else if (!quota.usesSharedCounter()) {
      decide(pending, false);
    } else if (quota.isCertainlyExhausted(pending.request.units())
        || quota.usesTotals && ctx.random.nextDouble() >= quota.callShare()) {
      handleOverQuota(pending, RefusalReason.SPENT);
    } else if (counterSync.throttle.mayCall()) {
      counterSync.call(pending);
    } else {
      decide(pending, false);
    }
  }

  void onCounterResult(CounterResult result) {
    PendingRequest pending = counterSync.onCounterResult(result);
    if (pending != null) {
      decide(pending, result.status() == Status.OK);
    }
  }

  /**
   * Decides by the confirmed total, or else by the replica with this gateway's usual share of the
   * refill.
   */
  private void decide(PendingRequest pending, boolean confirmed) {
    CustomerQuota quota = pending.quota;
    double units = pending.request.units();
    boolean within =
        quota.isWithinQuota(units, confirmed, pending.counterCallOpen ? pending.requestedUnits : 0);
    boolean denied =
        quota.plan.rate() > 0 && !within
            || quota.usesSharedCounter()
                && !confirmed
                && ctx.load.isOverloaded(pending.value(), LoadEstimate.UNCONFIRMED_MARGIN, ctx.now);
    boolean openLimitReached = quota.openLimitReached();
    if (denied || openLimitReached || !quota.tryTakeFromCeiling(units, confirmed)) {
      if (pending.addedToCounter && confirmed && quota.usesTotals) {
        counterSync.correct(quota, pending.counterWindow, -units);
      } else if (pending.addedToCounter) {
        quota.unreportedUnits -= units;
      }
      pending.addedToCounter = false;
      handleOverQuota(
          pending,
          !denied && openLimitReached
              ? RefusalReason.OPEN_LIMIT
              : confirmed ? RefusalReason.BEYOND : RefusalReason.UNCONFIRMED);
      return;
    }
    quota.consume(units);
    pending.chargedToQuota = true;
    quota.unreportedUnits += pending.addedToCounter || pending.counterCallOpen ? 0 : units;
    dispatcher.dispatch(pending);
  }

  /**
   * Sends a request over quota only if that is profitable under its plan, the plan has no ceiling
   * and the expected wait is short; else refuses it.
   */
  private void handleOverQuota(PendingRequest pending, RefusalReason reason) {
    double rate = pending.quota.plan.rate(), waitShare = ctx.load.expectedWaitShare(ctx.now);
    if (pending.quota.profitsFromOverQuota()
        && waitShare < LoadEstimate.MAX_WAIT_LOW_VALUE - LoadEstimate.UNCONFIRMED_MARGIN) {
      dispatcher.dispatch(pending);
    } else {
      double missing = pending.request.units() - pending.quota.level;
      dispatcher.refuse(
          pending, reason, rate > 0 ? Math.max(PendingRequest.TICK_MS, missing / rate * 1000) : 0);
    }
  }

  /** Ends waits for the counter or for a backend that exceed their limits. */
  void onTick(PendingRequest pending) {
    if (pending.currentAttempt != null || !pending.waitingForCounter) {
      dispatcher.onTick(pending);
    } else if (pending.deadlineNear(ctx.now)
        || ctx.now - pending.receivedAt > COUNTER_WAIT_SHARE * pending.objectiveMs()) {
      pending.waitingForCounter = false;
      decide(pending, false);
    }
  }
}
