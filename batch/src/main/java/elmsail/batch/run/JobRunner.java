package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Runs the items of this gateway's jobs: starts them as there is room, the jobs that are due first
 * before the others, gathers their texts, and gives them to be listed.
 */
public final class JobRunner {
  /** How soon places are looked for again, where there were none; a run that ends looks at once. */
  private static final long CAPACITY_POLL_INTERVAL_MS = 40;

  private static final long MIN_BACKOFF_MS = 20;
  private static final long MAX_BACKOFF_MS = 200;

  private final BatchContext context;
  private final BodyLoader bodies;
  private final UnrecordedBytes unrecordedBytes;
  private final ResultRecorder recorder;
  private final Map<String, RunningJob> jobs = new HashMap<>();
  private final TreeMap<RunningJob, RunningJob> jobsByDueTime = new TreeMap<>();
  private final long startLeaseMs;
  private final long cancelLeaseMs;
  private ItemServers servers;
  private boolean dispatchScheduled;

  /**
   * @param onJobChanged hears the id of each job in which something was listed or that was stopped
   */
  public JobRunner(BatchContext context, BatchJobClient jobClient, Consumer<String> onJobChanged) {
    this.context = context;
    this.unrecordedBytes = new UnrecordedBytes(context.invariants());
    this.bodies = new BodyLoader(context, jobClient, () -> scheduleDispatch(0));
    this.recorder = new ResultRecorder(context, jobClient, this, onJobChanged);
    this.startLeaseMs = context.cancelMs() * 6 / 10;
    this.cancelLeaseMs = context.cancelMs() * 8 / 10;
  }

  /** Sets where items are sent from now on; before this none is started. */
  public void setServers(ItemServers servers) {
    this.servers = servers;
    scheduleDispatch(0);
  }

  /**
   * Runs the job from now on: the record says that this gateway does.
   *
   * @param ageMs the job's, at the least
   * @param confirmedAt when it surely was open and this gateway's, by the steady clock
   */
  public void adopt(String jobId, JobRecord record, long ageMs, long confirmedAt) {
    RunningJob previous = jobs.get(jobId);
    if (previous != null && previous.term >= record.term() || !record.isOpen()) {
      return;
    }
    stop(jobId);
    long now = context.timers().now();
    RunningJob job = new RunningJob(jobId, record, now - ageMs, confirmedAt, now);
    jobs.put(jobId, job);
    jobsByDueTime.put(job, job);
    scheduleDispatch(0);
  }

  /** Stops running it: its runs are cut off, and what is not listed yet is left. */
  public void stop(String jobId) {
    RunningJob job = jobs.remove(jobId);
    if (job == null) {
      return;
    }
    jobsByDueTime.remove(job);
    JobEndLog.log(job, context.timers().now());
    job.stopped = true;
    unrecordedBytes.add(-job.cancelRuns());
    unrecordedBytes.check(jobs.size());
  }

  /**
   * Takes a decided record read after the moment given: goes on if the job is still open and ours.
   */
  public void onRecordRead(String jobId, JobRecord record, long readAt) {
    RunningJob job = jobs.get(jobId);
    if (job == null) {
      return;
    }
    if (record == null || !record.isOpen() || record.term() != job.term) {
      stop(jobId);
      return;
    }
    job.confirm(readAt);
    scheduleDispatch(0);
  }

  /** Whether this gateway runs the job at present. */
  public boolean isRunning(String jobId) {
    return jobs.containsKey(jobId);
  }

  /** How many jobs this gateway runs at present. */
  public int size() {
    return jobs.size();
  }

  List<RunningJob> jobsByDueTime() {
    return new ArrayList<>(jobsByDueTime.keySet());
  }

  /** Cuts runs that may not have reached a server yet, of jobs long not known to be ours. */
  void cancelUnansweredRuns(RunningJob job) {
    if (context.timers().now() - job.confirmedAt <= cancelLeaseMs) {
      return;
    }
    for (ItemRun itemRun : job.itemRuns) {
      if (itemRun.inFlight && !itemRun.eventReceived) {
        itemRun.cancel();
        job.timeline.onCancelled();
        job.itemsInFlight--;
        job.ready.add(itemRun.itemIndex);
      }
    }
  }

  void releaseBytes(long bytes) {
    unrecordedBytes.add(-bytes);
  }

  void scheduleDispatch(long delayMs) {
    if (!dispatchScheduled) {
      dispatchScheduled = true;
      context
          .timers()
          .schedule(
              delayMs,
              () -> {
                dispatchScheduled = false;
                dispatch();
              });
    }
  }

  private void dispatch() {
    RoutingConfig config = context.clusterState().config();
    if (servers == null || config == null || jobs.isEmpty()) {
      return;
    }
    Map<String, Integer> capacityByRoute = new HashMap<>();
    boolean itemsLeft = false;
    for (RunningJob job : jobsByDueTime()) {
      if (!job.stopped && !job.ready.isEmpty()) {
        if (job.items == null && job.isExpired(context.timers().now())) {
          failReadyItems(job);
        } else if (job.items == null) {
          job.timeline.onStalled(JobTimeline.Stall.BODY_NOT_LOADED);
          bodies.fetch(job);
        } else {
          startItems(job, config, capacityByRoute);
        }
        itemsLeft |= !job.stopped && !job.ready.isEmpty();
      }
    }
    if (itemsLeft) {
      scheduleDispatch(CAPACITY_POLL_INTERVAL_MS);
    }
  }

  /** Nobody gave its body in all its time: what is not listed yet is undeliverable. */
  private void failReadyItems(RunningJob job) {
    while (!job.ready.isEmpty()) {
      ItemRun itemRun = job.itemRuns[job.ready.poll()];
      if (!itemRun.done) {
        finishItem(job, itemRun, false);
      }
    }
  }

  private void startItems(
      RunningJob job, RoutingConfig config, Map<String, Integer> capacityByRoute) {
    long now = context.timers().now();
    boolean confirmed = now - job.confirmedAt <= startLeaseMs;
    while (!job.stopped && !job.ready.isEmpty()) {
      ItemRun itemRun = job.itemRuns[job.ready.peek()];
      if (itemRun.done || itemRun.inFlight) {
        job.ready.poll();
        continue;
      }
      BatchItem item = job.items.get(itemRun.itemIndex);
      Route route = config.match(job.record.host(), item.path());
      if (route == null && config.version() <= job.record.configVersion()) {
        return;
      }
      if (route == null || job.isExpired(now)) {
        job.ready.poll();
        finishItem(job, itemRun, false);
        continue;
      }
      Integer capacity = capacityByRoute.get(route.name());
      if (capacity == null) {
        capacity = servers.availableCapacity(route);
      }
      if (!confirmed || capacity <= 0 || unrecordedBytes.isFull()) {
        capacityByRoute.put(route.name(), capacity);
        job.timeline.onStalled(JobTimeline.Stall.of(confirmed, capacity));
        return;
      }
      job.ready.poll();
      if (start(job, itemRun, route, item)) {
        capacityByRoute.put(route.name(), capacity - 1);
      } else {
        job.ready.add(itemRun.itemIndex);
        capacityByRoute.put(route.name(), 0);
        return;
      }
    }
  }

  private boolean start(RunningJob job, ItemRun itemRun, Route route, BatchItem item) {
    int runNumber = ++itemRun.runNumber;
    itemRun.inFlight = true;
    itemRun.eventReceived = false;
    itemRun.sentAt = context.timers().now();
    job.itemsInFlight++;
    ItemServers.RunHandle handle =
        servers.start(
            route,
            item,
            itemRun.lastEventId,
            new ItemServers.RunListener() {
              @Override
              public void onEvent(long eventId, byte[] data) {
                if (itemRun.runNumber == runNumber) {
                  keepEvent(job, itemRun, eventId, data);
                }
              }

              @Override
              public void onEnded(ItemServers.RunOutcome outcome) {
                if (itemRun.runNumber == runNumber) {
                  itemRun.handle = null;
                  itemRun.cancel();
                  job.itemsInFlight--;
                  job.timeline.onEnded(outcome, itemRun.sentAt, context.timers().now());
                  onRunEnded(job, itemRun, outcome, route);
                }
              }
            });
    if (handle == null) {
      if (itemRun.runNumber == runNumber) {
        itemRun.runNumber++;
        itemRun.inFlight = false;
        job.itemsInFlight--;
      }
      return false;
    }
    job.timeline.onSent(itemRun.sentAt);
    if (itemRun.runNumber == runNumber && itemRun.inFlight) {
      itemRun.handle = handle;
    } else if (itemRun.runNumber > runNumber) {
      handle.cancel();
    }
    return true;
  }

  private void keepEvent(RunningJob job, ItemRun itemRun, long eventId, byte[] data) {
    int bytesBefore = itemRun.textBytes();
    boolean inSequence = itemRun.appendEvent(eventId, data);
    job.timeline.onEvent(context.timers().now());
    unrecordedBytes.add(itemRun.textBytes() - bytesBefore);
    if (!inSequence) {
      itemRun.cancel();
      job.timeline.onCancelled();
      job.itemsInFlight--;
      unrecordedBytes.add(-itemRun.textBytes());
      itemRun.discardText();
      retryLater(job, itemRun);
    }
  }

  private void onRunEnded(
      RunningJob job, ItemRun itemRun, ItemServers.RunOutcome outcome, Route route) {
    switch (outcome) {
      case COMPLETED -> {
        if (itemRun.hasText()) {
          finishItem(job, itemRun, true);
        } else {
          retryLater(job, itemRun);
        }
      }
      case REJECTED -> finishItem(job, itemRun, false);
      case FAILED -> {
        itemRun.failedAttempts++;
        if (itemRun.failedAttempts >= Math.max(1, route.maxAttempts())) {
          finishItem(job, itemRun, false);
        } else {
          recorder.scheduleRecording(job); // it runs again once that is recorded
        }
      }
      default -> retryLater(job, itemRun);
    }
    scheduleDispatch(0);
  }

  /**
   * Takes what the job's record now says of failures. An item that failed is free to run only then:
   * whoever runs the job next counts on from the record, so each change of hands hides one failure
   * at most.
   */
  void onFailuresRecorded(RunningJob job) {
    for (ItemRun itemRun : job.applyRecordedFailedAttempts()) {
      retryLater(job, itemRun);
    }
  }

  private void finishItem(RunningJob job, ItemRun itemRun, boolean succeeded) {
    unrecordedBytes.add(-itemRun.textBytes());
    job.finish(itemRun, succeeded);
    unrecordedBytes.add(job.finished.get(itemRun.itemIndex).text().length);
    recorder.scheduleRecording(job);
  }

  private void retryLater(RunningJob job, ItemRun itemRun) {
    itemRun.runsWithoutEvents = itemRun.eventReceived ? 0 : itemRun.runsWithoutEvents + 1;
    long backoff =
        Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << Math.min(itemRun.runsWithoutEvents, 5));
    context
        .timers()
        .schedule(
            context.jittered(backoff),
            () -> {
              if (!job.stopped && !itemRun.done && !itemRun.inFlight) {
                job.ready.add(itemRun.itemIndex);
                scheduleDispatch(0);
              }
            });
  }
}
