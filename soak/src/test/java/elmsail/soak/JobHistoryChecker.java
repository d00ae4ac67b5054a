package elmsail.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records what clients and servers observe of batch jobs, and checks the invariants of it.
 * Thread-safe.
 */
final class JobHistoryChecker {
  /** The statuses that promise that nothing of the job runs. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;

  /** The observed history of one item. */
  private static final class ItemState {
    private final SubmittedJob.Item item;
    private final ItemScript script;
    private final JobState job;
    private int runs;
    private int failures;
    private int position = -1;
    private long doneAtMs = -1;
    private boolean impossible;
    private int lastEvent = -1;

    ItemState(SubmittedJob.Item item, JobState job) {
      this.item = item;
      this.script = ItemScript.of(item.id());
      this.job = job;
    }
  }

  /** The observed history of one job. */
  private static final class JobState {
    private final SubmittedJob job;
    private final Map<String, ItemState> items = new HashMap<>();
    private final Map<Integer, ItemResult> results = new HashMap<>();
    private final Map<Integer, Long> firstReadAtMs = new HashMap<>();
    private int attempts;
    private int rejections;
    private long acceptedAtMs = -1;
    private long cancelRequestedAtMs = -1;
    private long cancelledAtMs = -1;
    private final List<ItemRun> runsAfterCancel = new ArrayList<>();

    JobState(SubmittedJob job) {
      this.job = job;
      job.items().forEach(item -> items.put(item.id(), new ItemState(item, this)));
    }
  }

  private final Findings findings;
  private final FaultHistory faults;
  private final String host;
  private final int maxAttempts;
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, ItemState> items = new HashMap<>();
  private int acceptedCount;

  /**
   * @param host the routes' host
   * @param tries of the routes: so many 500s make an item undeliverable
   */
  JobHistoryChecker(Findings findings, FaultHistory faults, String host, int tries) {
    this.findings = findings;
    this.faults = faults;
    this.host = host;
    this.maxAttempts = tries;
  }

  /** A client is about to send it for the first time. */
  synchronized void onSubmit(SubmittedJob job) {
    JobState state = new JobState(job);
    jobs.put(job.id(), state);
    items.putAll(state.items);
  }

  /** An attempt ended; a status of 0 stands for no response. */
  synchronized void onSubmitAttempt(String job, int status, long atMs) {
    JobState state = jobs.get(job);
    state.attempts++;
    if (REFUSALS.contains(status)) {
      state.rejections++;
    }
    if (status == 202 && state.acceptedAtMs < 0) {
      state.acceptedAtMs = atMs;
      acceptedCount++;
    }
  }

  synchronized void onCancelRequested(String job, long atMs) {
    JobState state = jobs.get(job);
    if (state.cancelRequestedAtMs < 0) {
      state.cancelRequestedAtMs = atMs;
    }
  }

  /** A cancel request was answered. */
  synchronized void onCancelResponse(String job, String machine, int status, long atMs) {
    JobState state = jobs.get(job);
    if (status == 200 && state.cancelledAtMs < 0) {
      state.cancelledAtMs = atMs;
    }
    checkKnown(state, machine, status, atMs, atMs);
  }

  private void checkKnown(JobState state, String machine, int status, long sentMs, long atMs) {
    if (state.acceptedAtMs >= 0 && sentMs > state.acceptedAtMs + Bounds.SETTLE_MS) {
      findings.check(
          Invariant.JOB_KNOWN,
          status != NOT_FOUND && status != GONE,
          atMs,
          "job " + state.job.id() + " unknown at " + machine + ": " + status);
    }
  }

  /** A read was answered; reads of jobs that were never submitted are not checked. */
  synchronized void onRead(JobRead read) {
    JobState state = jobs.get(read.job());
    if (state == null) {
      return;
    }
    checkKnown(state, read.machine(), read.status(), read.sentMs(), read.atMs());
    if (read.status() != 200) {
      return;
    }
    Long seen = state.firstReadAtMs.get(read.after());
    boolean settled = seen != null && read.sentMs() > seen + Bounds.SETTLE_MS;
    String where = "job " + read.job() + " at " + read.machine();
    if (settled) {
      findings.check(
          Invariant.POSITION_THERE,
          !read.deliveries().isEmpty(),
          read.atMs(),
          where + " has nothing at position " + read.after());
    }
    boolean counted = read.nextToken() == read.after() + read.deliveries().size();
    findings.check(
        Invariant.ITEMS_ONCE,
        read.total() == state.items.size() && counted,
        read.atMs(),
        where + " tells total " + read.total() + ", next " + read.nextToken());
    for (int i = 0; i < read.deliveries().size(); i++) {
      checkResult(state, read, read.after() + i, read.deliveries().get(i));
    }
  }

  private void checkResult(JobState state, JobRead read, int position, ItemResult result) {
    String where = "job " + read.job() + " position " + position + " at " + read.machine();
    ItemResult before = state.results.putIfAbsent(position, result);
    state.firstReadAtMs.putIfAbsent(position, read.atMs());
    findings.check(
        Invariant.POSITION_STABLE,
        before == null || before.equals(result),
        read.atMs(),
        where + ": " + before + " became " + result);
    ItemState item = state.items.get(result.id());
    boolean once = item != null && (item.position < 0 || item.position == position);
    findings.check(
        Invariant.ITEMS_ONCE,
        once,
        read.atMs(),
        where + ": item " + result.id() + " is not there once");
    if (item == null) {
      return;
    }
    item.position = position;
    if (result.state().equals("delivered")) {
      findings.check(
          Invariant.TEXT_WHOLE,
          item.script.text(result.id()).equals(result.message()),
          read.atMs(),
          where + ": " + result.message());
    } else {
      boolean cause =
          item.impossible || item.failures >= maxAttempts || state.cancelRequestedAtMs >= 0;
      findings.check(
          Invariant.UNDELIVERABLE_CAUSE,
          result.state().equals("undeliverable") && cause,
          read.atMs(),
          where + ": " + result + " after " + item.failures + " failures");
    }
  }

  /** A read of an item's body was answered. */
  synchronized void onBodyRead(
      String itemId, String machine, int status, String body, long sentMs, long atMs) {
    ItemState item = items.get(itemId);
    if (item.job.acceptedAtMs < 0 || sentMs <= item.job.acceptedAtMs + Bounds.SETTLE_MS) {
      return;
    }
    boolean due = item.doneAtMs < 0 && item.job.cancelRequestedAtMs < 0;
    boolean missing = status == NOT_FOUND || status == GONE;
    boolean same = status != 200 || body.equals(item.item.body());
    findings.check(
        Invariant.BODY_SAME,
        same && !(due && missing),
        atMs,
        "item " + itemId + " at " + machine + ": " + status + " " + body);
  }

  /** A server starts to run an item; returns false if no such item was submitted. */
  synchronized boolean onRunStarted(ItemRun run) {
    ItemState item = items.get(run.id());
    if (item == null) {
      return false;
    }
    item.runs++;
    boolean same =
        run.host().equals(host)
            && run.path().equals(item.item.lane())
            && run.body().equals(item.item.body())
            && run.lastEventId() <= item.lastEvent;
    findings.check(Invariant.ITEM_AS_SENT, same, run.atMs(), run + " of " + item.item);
    checkRunAfterCancel(item, run);
    return true;
  }

  private void checkRunAfterCancel(ItemState item, ItemRun run) {
    long ended = item.job.cancelledAtMs;
    if (ended < 0) {
      return;
    }
    boolean late = run.atMs() > ended + Bounds.CANCEL_MS;
    if (late && faults.inTouch(run.machine(), run.atMs(), run.atMs())) {
      item.job.runsAfterCancel.add(run);
    }
  }

  /** A server has sent this event of an item. */
  synchronized void onEventSent(String itemId, int event) {
    ItemState item = items.get(itemId);
    item.lastEvent = Math.max(item.lastEvent, event);
  }

  /** How many runs of the item ended with a 500 so far. */
  synchronized int failures(String itemId) {
    return items.get(itemId).failures;
  }

  /** How often the item reached a server. */
  synchronized int runs(String itemId) {
    return items.get(itemId).runs;
  }

  /** A server responds with 500; returns true if that makes the item undeliverable. */
  synchronized boolean onRunFailed(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    item.failures++;
    if (item.failures >= maxAttempts && item.doneAtMs < 0) {
      item.doneAtMs = atMs;
    }
    return item.failures == maxAttempts;
  }

  synchronized void onRunImpossible(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    item.impossible = true;
    onRunFinished(itemId, atMs);
  }

  /** A server has sent the complete output. */
  synchronized void onRunFinished(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    if (item.doneAtMs < 0) {
      item.doneAtMs = atMs;
    }
  }

  /** The job of an item; null if there is none. */
  synchronized SubmittedJob jobOf(String itemId) {
    ItemState item = items.get(itemId);
    return item == null ? null : item.job.job;
  }

  /** Whether all results of an accepted job were read, or it was cancelled. */
  synchronized boolean complete(String job) {
    JobState state = jobs.get(job);
    return state.cancelRequestedAtMs >= 0 || state.results.size() == state.items.size();
  }

  /** The accepted jobs. */
  synchronized List<SubmittedJob> accepted() {
    List<SubmittedJob> accepted = new ArrayList<>();
    for (JobState state : jobs.values()) {
      if (state.acceptedAtMs >= 0) {
        accepted.add(state.job);
      }
    }
    return accepted;
  }

  synchronized int acceptedCount() {
    return acceptedCount;
  }

  /** The number of jobs that were refused at each of their tries. */
  synchronized int refusedAtEachTry() {
    int refused = 0;
    for (JobState state : jobs.values()) {
      refused += state.attempts > 0 && state.attempts == state.rejections ? 1 : 0;
    }
    return refused;
  }

  synchronized int size() {
    return jobs.size();
  }

  /** The checks of complete histories, after the load. */
  synchronized void checkAtEnd(long atMs) {
    for (JobState state : jobs.values()) {
      if (state.cancelledAtMs >= 0) {
        findings.check(
            Invariant.ENDED_NEVER_RUNS,
            state.runsAfterCancel.isEmpty(),
            atMs,
            "job "
                + state.job.id()
                + " ended at "
                + state.cancelledAtMs
                + ": "
                + state.runsAfterCancel);
      }
      int runs = state.items.values().stream().mapToInt(item -> item.runs).sum();
      if (state.acceptedAtMs >= 0) {
        findings.check(
            Invariant.JOB_FINISHED,
            state.cancelRequestedAtMs >= 0 || state.results.size() == state.items.size(),
            atMs,
            "job "
                + state.job.id()
                + " of "
                + state.acceptedAtMs
                + " ms lists "
                + state.results.size()
                + " of "
                + state.items.size());
      } else if (state.attempts == state.rejections) {
        findings.check(
            Invariant.REFUSED_NEVER_RUNS,
            runs == 0,
            atMs,
            "job " + state.job.id() + " was refused at " + state.attempts + " tries and ran");
      }
    }
  }
}
