package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** One request taken and not yet finally answered. */
final class PendingRequest {
  /** Waiting requests are looked at this often, and answered so long before their end. */
  static final double TICK_MS = 25, DEADLINE_MARGIN_MS = 15;

  final Request request;
  final RequestClass requestClass;
  final CustomerQuota quota;
  final double receivedAt;

  /**
   * Waits for the counter; its call is unanswered; its units are, or may be, in the shared count.
   */
  boolean waitingForCounter, counterCallOpen, addedToCounter;

  double requestedUnits; // units that its call adds
  long counterWindow; // to whose count
  boolean chargedToQuota, waitingForBackend, streaming, mayHaveRun, cancelled;
  boolean connectFailed; // its last attempt found no connection
  Backend firstBackend, lastBackend;
  double deduplicatedUntil =
      Double.POSITIVE_INFINITY; // a repeat has arrived; its way there is in GUARD_MS
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

  /** True when the next look would come too late for an answer in time. */
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
