package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** One request taken and not yet finally answered. */
final class Job {
  /** Waiting requests are looked at this often, and answered so long before their end. */
  static final double TICK_MS = 25, GUARD_MS = 15;

  final Request request;
  final RequestClass type;
  final Account account;
  final double takenAt;

  /**
   * Waits for the counter; its call is unanswered; its units are, or may be, in the shared count.
   */
  boolean waiting, called, added;

  double asked; // units that its call adds
  long window; // to whose count
  boolean inQuota, held, streaming, mayHaveRun, abandoned;
  boolean unreached; // its last attempt found no connection
  Backend keyedTo, lastBackend;
  double keyedUntil =
      Double.POSITIVE_INFINITY; // a repeat has arrived; its way there is in GUARD_MS
  int attempts;
  Attempt live;

  record Attempt(Job job, int number, Backend backend, double sentAt) {}

  Job(Request request, RequestClass type, Account account, double now) {
    this.request = request;
    this.type = type;
    this.account = account;
    takenAt = now;
  }

  double aim() {
    return type.aimMs() > 0 ? type.aimMs() : Math.max(1, request.giveUpMs() - takenAt);
  }

  double worth() {
    return type.value() * account.plan.worthFactor();
  }

  /** True when the next look would come too late for an answer in time. */
  boolean late(double now) {
    return now + GUARD_MS + TICK_MS >= request.giveUpMs();
  }

  void takeBack() {
    if (inQuota && attempts == 0) {
      account.level += request.units();
      account.owed -= request.units();
      inQuota = false;
    }
  }
}
