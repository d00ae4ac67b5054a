package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Runs the jobs whose lease this gateway holds. Items are dispatched when the servers have
 * capacity. Tenants share the capacity ({@link TenantShares}); among the jobs of one tenant, the
 * job that is due first takes precedence. An item is started only if the lease was confirmed
 * recently, so that no item of a cancelled or taken-over job is started later than the bound {@code
 * cancel_ms}. Confined to the gateway's event loop.
 */
public final class JobRunner {
  /**
   * The interval at which capacity is queried again; the end of a run causes a dispatch at once.
   */
  private static final long CAPACITY_POLL_INTERVAL_MS = 40;

  /**
   * Items are started only within this number of tenths of {@code cancel_ms} after a confirmation
   * of the lease.
   */
  private static final long START_WINDOW_TENTHS = 6;

  /**
   * Once the last confirmation of the lease is older than this number of tenths of {@code
   * cancel_ms}, the runs without any event from a server are cancelled; it is unknown whether such
   * a run has reached a server.
   */
  private static final long CANCEL_AFTER_TENTHS = 8;

  private final BatchContext context;
  private final BodyLoader bodyLoader;
  private final UnrecordedBytes unrecordedBytes;
  private final ResultRecorder recorder;
  private final ItemRunner itemRunner;
  private final Map<String, RunningJob> jobs = new HashMap<>();
  private final TreeSet<RunningJob> jobsByDueTime = new TreeSet<>();
  private final long startWindowMs;
  private final long cancelAfterMs;
  private ItemServers servers;
  private boolean dispatchScheduled;

  /**
   * @param onJobChanged receives the id of a job when a change of its record was committed, or when
   *     the committed record showed that this gateway must stop the job
   */
  public JobRunner(BatchContext context, BatchJobClient jobClient, Consumer<String> onJobChanged) {
    this.context = context;
    this.unrecordedBytes = new UnrecordedBytes(context.invariants());
    this.bodyLoader = new BodyLoader(context, jobClient, this::dispatchSoon);
    this.recorder = new ResultRecorder(context, jobClient, this, onJobChanged);
    this.itemRunner = new ItemRunner(context, unrecordedBytes, new ItemListener());
    this.startWindowMs = context.settings().cancelMs() * START_WINDOW_TENTHS / 10;
    this.cancelAfterMs = context.settings().cancelMs() * CANCEL_AFTER_TENTHS / 10;
  }

  private final class ItemListener implements ItemRunner.Listener {
    @Override
    public void onUnrecorded(RunningJob job) {
      recorder.scheduleRecording(job);
    }

    @Override
    public void onDispatchable() {
      dispatchSoon();
    }
  }

  /** Sets the servers that items are sent to. No item is started before this call. */
  public void setServers(ItemServers servers) {
    this.servers = servers;
    dispatchSoon();
  }

  /**
   * Starts to run a job whose record names this gateway as its runner.
   *
   * @param ageMs a lower bound on the age of the job, in ms
   * @param confirmedAt a time, in ms of the steady clock, at which the job was certainly open and
   *     this gateway was its runner
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
    jobsByDueTime.add(job);
    dispatchSoon();
  }

  /** Stops running a job: cancels its runs and discards its unrecorded results. */
  public void stop(String jobId) {
    RunningJob job = jobs.remove(jobId);
    if (job == null) {
      return;
    }
    jobsByDueTime.remove(job);
    JobEndLog.log(job, context.timers().now());
    job.stopped = true;
    unrecordedBytes.release(job.discard());
    unrecordedBytes.check(jobs.size());
  }

  /**
   * Processes a committed record of a job that was read: confirms the lease, or stops the job if it
   * is closed or run by another gateway.
   *
   * @param record the record; null if the job no longer has a record
   * @param readAt when the read was started, in ms of the steady clock
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
    job.confirmLease(readAt);
    dispatchSoon();
  }

  /** Whether this gateway runs the job at present. */
  public boolean isRunning(String jobId) {
    return jobs.containsKey(jobId);
  }

  /** The number of jobs that this gateway runs at present. */
  public int size() {
    return jobs.size();
  }

  /**
   * The number of items that are ready to start, by the service that has the largest weight on the
   * route of their job.
   */
  public Map<String, Integer> waitingItems() {
    Map<String, Integer> waiting = new HashMap<>();
    RoutingConfig config = context.clusterState().config();
    if (config == null) {
      return waiting;
    }
    for (RunningJob job : jobs.values()) {
      Route route = config.routeByName(job.record.routeName());
      if (route != null && job.hasReadyItems()) {
        waiting.merge(mainService(route), job.readyItems.size(), Integer::sum);
      }
    }
    return waiting;
  }

  private static String mainService(Route route) {
    return Collections.max(
            route.weightedServices(), Comparator.comparingDouble(Route.WeightedService::weight))
        .service();
  }

  /** A copy of the list of jobs that this gateway runs, in the order of their due times. */
  List<RunningJob> jobsByDueTime() {
    return new ArrayList<>(jobsByDueTime);
  }

  /**
   * If the lease was not confirmed recently enough, cancels the job's runs that have received no
   * event. It is unknown whether such a run has reached a server.
   */
  void cancelUnansweredRuns(RunningJob job) {
    if (context.timers().now() - job.leaseConfirmedAt <= cancelAfterMs) {
      return;
    }
    for (ItemRun itemRun : job.itemRuns) {
      if (itemRun.isInFlight() && !itemRun.hasReceivedEvent()) {
        itemRun.cancel();
        job.timeline.onCancelled();
        job.readyItems.add(itemRun.itemIndex);
      }
    }
  }

  /** Stops counting the bytes of a text that was recorded. */
  void onTextRecorded(long bytes) {
    unrecordedBytes.release(bytes);
  }

  /**
   * Applies the failed attempts that the record now contains. A failed item may run again only once
   * its failed attempt is recorded: after a takeover the new runner starts from the recorded number
   * of failed attempts, so at most one failed attempt of each item is not counted.
   */
  void onFailuresRecorded(RunningJob job) {
    for (ItemRun itemRun : job.applyRecordedFailedAttempts()) {
      itemRunner.retryLater(job, itemRun);
    }
  }

  private void dispatchSoon() {
    scheduleDispatch(0);
  }

  private void scheduleDispatch(long delayMs) {
    if (dispatchScheduled) {
      return;
    }
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

  private void dispatch() {
    RoutingConfig config = context.clusterState().config();
    if (servers == null || config == null || jobs.isEmpty()) {
      return;
    }
    CapacityBudget budget = new CapacityBudget(servers);
    List<RunningJob> runningJobs = jobsByDueTime();
    new TenantShares(runningJobs).dispatchFairly(job -> dispatchNextItem(job, config, budget));
    if (runningJobs.stream().anyMatch(RunningJob::hasReadyItems)) {
      scheduleDispatch(CAPACITY_POLL_INTERVAL_MS);
    }
  }

  /**
   * Starts the next item of a job, or fails items that can no longer be run.
   *
   * @return whether a further item of the job may be tried
   */
  private boolean dispatchNextItem(RunningJob job, RoutingConfig config, CapacityBudget budget) {
    if (job.items != null) {
      return startNextItem(job, config, budget);
    }
    if (job.isExpired(context.timers().now())) {
      failReadyItems(job);
    } else {
      job.timeline.onStalled(JobTimeline.Stall.BODY_NOT_LOADED);
      bodyLoader.fetch(job);
    }
    return false;
  }

  /**
   * Fails all ready items of a job whose body was not read within the time to live of the items.
   */
  private void failReadyItems(RunningJob job) {
    while (!job.readyItems.isEmpty()) {
      ItemRun itemRun = job.itemRuns[job.readyItems.poll()];
      if (!itemRun.done) {
        itemRunner.finish(job, itemRun, false);
      }
    }
  }

  /** The state under which the items of a job are dispatched. */
  private record JobDispatch(
      RoutingConfig config, CapacityBudget budget, long now, boolean leaseConfirmed) {}

  private boolean startNextItem(RunningJob job, RoutingConfig config, CapacityBudget budget) {
    long now = context.timers().now();
    boolean leaseConfirmed = now - job.leaseConfirmedAt <= startWindowMs;
    JobDispatch dispatch = new JobDispatch(config, budget, now, leaseConfirmed);
    while (job.hasReadyItems()) {
      ItemRun itemRun = job.itemRuns[job.readyItems.peek()];
      if (!itemRun.done && !itemRun.isInFlight()) {
        return startItem(job, itemRun, dispatch);
      }
      job.readyItems.poll();
    }
    return false;
  }

  /**
   * Starts the first ready item of a job, or fails the item if it can no longer be run.
   *
   * @return whether the next item may be tried
   */
  private boolean startItem(RunningJob job, ItemRun itemRun, JobDispatch dispatch) {
    BatchItem item = job.items.get(itemRun.itemIndex);
    Optional<Route> matched = dispatch.config().match(job.record.host(), item.path());
    if (matched.isEmpty() && dispatch.config().version() <= job.record.configVersion()) {
      // The job was accepted under this configuration or a newer one, which may have the route.
      return false;
    }
    if (matched.isEmpty() || job.isExpired(dispatch.now())) {
      job.readyItems.poll();
      itemRunner.finish(job, itemRun, false);
      return true;
    }
    Route route = matched.get();
    int capacity = dispatch.budget().remaining(route);
    if (!dispatch.leaseConfirmed() || capacity <= 0 || unrecordedBytes.isFull()) {
      job.timeline.onStalled(JobTimeline.Stall.of(dispatch.leaseConfirmed(), capacity));
      return false;
    }
    job.readyItems.poll();
    if (itemRunner.start(servers, job, itemRun, route, item)) {
      dispatch.budget().consume(route);
      return true;
    }
    job.readyItems.add(itemRun.itemIndex);
    dispatch.budget().exhaust(route);
    return false;
  }
}
