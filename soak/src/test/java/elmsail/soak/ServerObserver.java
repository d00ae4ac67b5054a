package elmsail.soak;

import java.util.Map;

/** Records with the checkers what servers observe, and tells servers how a run is to end. */
final class ServerObserver {
  /** In place of a status: the connection is closed without a response. */
  static final int DROPPED = 0;

  /** How a run is to end: its status, and whether it is truncated where its script prescribes. */
  record Plan(int status, boolean cut, ItemScript script) {}

  private final SoakClock clock;
  private final JobHistoryChecker jobs;
  private final QuotaHistoryChecker quota;
  private final RequestHistoryChecker requests;
  private final Map<String, String> machines;
  private final Findings findings;

  /**
   * @param machines the names of the machines by their addresses
   */
  ServerObserver(
      SoakClock clock,
      JobHistoryChecker jobs,
      QuotaHistoryChecker quota,
      RequestHistoryChecker requests,
      Map<String, String> machines,
      Findings findings) {
    this.clock = clock;
    this.jobs = jobs;
    this.quota = quota;
    this.requests = requests;
    this.machines = Map.copyOf(machines);
    this.findings = findings;
  }

  long nowMs() {
    return clock.nowMs();
  }

  /** A server starts a run. */
  Plan onRunStarted(ItemRun run, String postmark) {
    ItemScript script = ItemScript.of(run.id());
    ItemRun named =
        new ItemRun(
            run.id(),
            machines.getOrDefault(run.machine(), run.machine()),
            run.server(),
            run.host(),
            run.path(),
            run.body(),
            run.lastEventId(),
            run.atMs());
    if (jobs.onRunStarted(named)) {
      return planItemRun(run, script);
    }
    boolean known = requests.onRunStarted(run.id(), postmark, run.atMs());
    findings.check(Invariant.ITEM_AS_SENT, known, run.atMs(), "nobody sent " + named);
    boolean dropped = script.cutAfter() >= 0 && requests.runs(run.id()) == 1;
    return new Plan(dropped ? DROPPED : 200, false, script);
  }

  private Plan planItemRun(ItemRun run, ItemScript script) {
    if (script.impossible()) {
      jobs.onRunImpossible(run.id(), clock.nowMs());
      quota.onReleased(jobs.jobOf(run.id()), run.id(), clock.nowMs());
      return new Plan(422, false, script);
    }
    if (jobs.failures(run.id()) < script.failures()) {
      if (jobs.onRunFailed(run.id(), clock.nowMs())) {
        quota.onReleased(jobs.jobOf(run.id()), run.id(), clock.nowMs());
      }
      return new Plan(500, false, script);
    }
    return new Plan(200, jobs.runs(run.id()) == 1, script);
  }

  /** An event is about to be sent. */
  void onEventSent(String id, int event) {
    if (jobs.jobOf(id) != null) {
      jobs.onEventSent(id, event);
    }
  }

  /** The last event was sent; the end of the output is about to be. */
  void onRunFinished(String id) {
    SubmittedJob job = jobs.jobOf(id);
    if (job != null) {
      jobs.onRunFinished(id, clock.nowMs());
      quota.onReleased(job, id, clock.nowMs());
    }
  }
}
