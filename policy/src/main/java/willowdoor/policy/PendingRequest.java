package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** A request that has been received and has no final answer yet. */
final class PendingRequest {
  /**
   * Interval at which waiting requests are checked, and the margin before the deadline at which
   * they are answered.
   */
  static final double TICK_MS = 25, DEADLINE_MARGIN_MS = 15;

  final Request request;
  final RequestClass requestClass;
  final CustomerQuota quota;
  final double receivedAt;

  /**
   * Whether the request waits for the counter; whether its call is unanswered; whether its units
   * are, or may be, in the shared count.
   */
  boolean waitingForCounter, counterCallOpen, addedToCounter;

  /** Units that the call adds to the count. */
  double requestedUnits;

  /** Window of that count. */
  long counterWindow;

  boolean chargedToQuota, waitingForBackend, streaming, mayHaveRun, cancelled;

  /** Whether the last attempt failed to connect. */
  boolean connectFailed;

  Backend firstBackend, lastBackend;

  /**
   * Time by which a repeat must have reached a backend; {@link #DEADLINE_MARGIN_MS} covers the
   * transfer.
   */
  double deduplicatedUntil = Double.POSITIVE_INFINITY;

  int attemptCount;
  Attempt currentAttempt;

  record Attempt(PendingRequest pending, int number, Backend backend, double sentAt) {}

  PendingRequest(Request request, RequestClass requestClass, CustomerQuota quota, double now) {
    this.request = request;
    this.requestClass = requestClass;
    this.quota = quota;
    receivedAt = now;
  }

  double objectiveMs() {
    return requestClass.objectiveMs() > 0
        ? requestClass.objectiveMs()
        : Math.max(1, request.deadlineMs() - receivedAt);
  }

  double value() {
    return requestClass.value() * quota.plan.valueFactor();
  }

  /** Whether the next check would be too late for an answer before the deadline. */
  boolean deadlineNear(double now) {
    return now + DEADLINE_MARGIN_MS + TICK_MS >= request.deadlineMs();
  }

  void refundUnits() {
    if (chargedToQuota && attemptCount == 0) {
      quota.level += request.units();
      quota.unreportedUnits -= request.units();
      chargedToQuota = false;
    }
  }
}
