package elmsail.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What clients and servers saw of batch jobs, and the invariants of it. */
final class JobHistoryChecker {
  private static final int REFUSED = 429;
  private static final int UNABLE = 503;
  private static final int NONE = 404;
  private static final int GONE = 410;

  /** What became of one item. */
  private static final class ItemState {
    private final SubmittedJob.Item item;
    private final ItemScript script;
    private final JobState job;
    private int runs;
    private int failures;
    private int position = -1;
    private long doneAt = -1;
    private boolean impossible;
    private int lastEvent = -1;

    ItemState(SubmittedJob.Item item, JobState job) {
      this.item = item;
      this.script = ItemScript.of(item.id());
      this.job = job;
    }
  }

  /** What became of one job. */
  private static final class JobState {
    private final SubmittedJob job;
    private final Map<String, ItemState> items = new HashMap<>();
    private final Map<Integer, ItemResult> results = new HashMap<>();
    private final Map<Integer, Long> readAt = new HashMap<>();
    private int attempts;
    private int rejections;
    private long acceptedAt = -1;
    private long endAskedAt = -1;
    private long endedAt = -1;
    private final List<ItemRun> runsAfterEnd = new ArrayList<>();

    JobState(SubmittedJob job) {
      this.job = job;
      job.items().forEach(item -> items.put(item.id(), new ItemState(item, this)));
    }
  }

  private final Findings findings;
  private final FaultHistory faults;
  private final String host;
  private final int tries;
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, ItemState> items = new HashMap<>();

  /**
   * @param host the routes' host
   * @param tries of the routes: so many 500s make an item undeliverable
   */
  JobHistoryChecker(Findings findings, FaultHistory faults, String host, int tries) {
    this.findings = findings;
    this.faults = faults;
    this.host = host;
    this.tries = tries;
  }

  /** A client is about to send it for the first time. */
  synchronized void onSubmit(SubmittedJob job) {
    JobState state = new JobState(job);
    jobs.put(job.id(), state);
    items.putAll(state.items);
  }

  /** A try was answered; a status of 0 stands for no answer. */
  synchronized void onSubmitAttempt(String job, int status, long atMs) {
    JobState state = jobs.get(job);
    state.attempts++;
    if (status == REFUSED || status == UNABLE) {
      state.rejections++;
    }
    if (status == 202 && state.acceptedAt < 0) {
      state.acceptedAt = atMs;
    }
  }

  synchronized void onCancelRequested(String job, long atMs) {
    JobState state = jobs.get(job);
    if (state.endAskedAt < 0) {
      state.endAskedAt = atMs;
    }
  }

  /** An end was answered. */
  synchronized void onCancelResponse(String job, String machine, int status, long atMs) {
    JobState state = jobs.get(job);
    if (status == 200 && state.endedAt < 0) {
      state.endedAt = atMs;
    }
    known(state, machine, status, atMs, atMs);
  }

  private void known(JobState state, String machine, int status, long sentMs, long atMs) {
    if (state.acceptedAt >= 0 && sentMs > state.acceptedAt + Bounds.SETTLE_MS) {
      findings.check(
          Invariant.JOB_KNOWN,
          status != NONE && status != GONE,
          atMs,
          "job " + state.job.id() + " unknown at " + machine + ": " + status);
    }
  }

  /** A read was answered; one of a job that nobody sent says nothing of jobs. */
  synchronized void read(JobRead read) {
    JobState state = jobs.get(read.job());
    if (state == null) {
      return;
    }
    known(state, read.machine(), read.status(), read.sentMs(), read.atMs());
    if (read.status() != 200) {
      return;
    }
    Long seen = state.readAt.get(read.after());
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
      result(state, read, read.after() + i, read.deliveries().get(i));
    }
  }

  private void result(JobState state, JobRead read, int position, ItemResult result) {
    String where = "job " + read.job() + " position " + position + " at " + read.machine();
    ItemResult before = state.results.putIfAbsent(position, result);
    state.readAt.putIfAbsent(position, read.atMs());
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
      boolean cause = item.impossible || item.failures >= tries || state.endAskedAt >= 0;
      findings.check(
          Invariant.UNDELIVERABLE_CAUSE,
          result.state().equals("undeliverable") && cause,
          read.atMs(),
          where + ": " + result + " after " + item.failures + " failures");
    }
  }

  /** A body was asked for and answered. */
  synchronized void body(
      String itemId, String machine, int status, String body, long sentMs, long atMs) {
    ItemState item = items.get(itemId);
    if (item.job.acceptedAt < 0 || sentMs <= item.job.acceptedAt + Bounds.SETTLE_MS) {
      return;
    }
    boolean due = item.doneAt < 0 && item.job.endAskedAt < 0;
    boolean missing = status == NONE || status == GONE;
    boolean same = status != 200 || body.equals(item.item.body());
    findings.check(
        Invariant.BODY_SAME,
        same && !(due && missing),
        atMs,
        "item " + itemId + " at " + machine + ": " + status + " " + body);
  }

  /** A server begins to run an item; false where nobody sent such an item. */
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
    afterEnd(item, run);
    return true;
  }

  private void afterEnd(ItemState item, ItemRun run) {
    long ended = item.job.endedAt;
    if (ended < 0) {
      return;
    }
    boolean late = run.atMs() > ended + Bounds.CANCEL_MS;
    if (late && faults.inTouch(run.machine(), run.atMs(), run.atMs())) {
      item.job.runsAfterEnd.add(run);
    }
  }

  /** A server has sent this event of an item. */
  synchronized void event(String itemId, int event) {
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

  /** A server answers a 500; true if that makes the item undeliverable. */
  synchronized boolean failed(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    item.failures++;
    if (item.failures >= tries && item.doneAt < 0) {
      item.doneAt = atMs;
    }
    return item.failures == tries;
  }

  synchronized void impossible(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    item.impossible = true;
    finished(itemId, atMs);
  }

  /** A server has sent the whole output. */
  synchronized void finished(String itemId, long atMs) {
    ItemState item = items.get(itemId);
    if (item.doneAt < 0) {
      item.doneAt = atMs;
    }
  }

  /** The job of an item; null if there is none. */
  synchronized SubmittedJob jobOf(String itemId) {
    ItemState item = items.get(itemId);
    return item == null ? null : item.job.job;
  }

  /** Whether all items of an accepted job were read, or it was ended. */
  synchronized boolean complete(String job) {
    JobState state = jobs.get(job);
    return state.endAskedAt >= 0 || state.results.size() == state.items.size();
  }

  /** The accepted jobs. */
  synchronized List<SubmittedJob> accepted() {
    List<SubmittedJob> accepted = new ArrayList<>();
    for (JobState state : jobs.values()) {
      if (state.acceptedAt >= 0) {
        accepted.add(state.job);
      }
    }
    return accepted;
  }

  synchronized int size() {
    return jobs.size();
  }

  /** The checks that need the whole run, once all is quiet. */
  synchronized void close(long atMs) {
    for (JobState state : jobs.values()) {
      if (state.endedAt >= 0) {
        findings.check(
            Invariant.ENDED_NEVER_RUNS,
            state.runsAfterEnd.isEmpty(),
            atMs,
            "job " + state.job.id() + " ended at " + state.endedAt + ": " + state.runsAfterEnd);
      }
      int runs = state.items.values().stream().mapToInt(item -> item.runs).sum();
      if (state.acceptedAt >= 0) {
        findings.check(
            Invariant.JOB_FINISHED,
            state.endAskedAt >= 0 || state.results.size() == state.items.size(),
            atMs,
            "job "
                + state.job.id()
                + " of "
                + state.acceptedAt
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
