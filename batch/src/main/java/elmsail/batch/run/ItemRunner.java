package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.client.BatchContext;
import elmsail.config.Route;

/**
 * Runs single items at the model servers: starts a run and collects its events. The outcome of the
 * run determines whether the item has a result or is run again after a backoff. Confined to the
 * gateway's event loop.
 */
final class ItemRunner {
  private static final long MIN_BACKOFF_MS = 20;
  private static final long MAX_BACKOFF_MS = 200;
  private static final int MAX_BACKOFF_DOUBLINGS = 5;

  /** Receives the consequences of ended runs for the jobs. */
  interface Listener {
    /** The job has a result or a failed attempt that is not recorded yet. */
    void onUnrecorded(RunningJob job);

    /** An item may be started, as an item has become ready again or a run has ended. */
    void onDispatchable();
  }

  private final BatchContext context;
  private final UnrecordedBytes unrecordedBytes;
  private final Listener listener;

  ItemRunner(BatchContext context, UnrecordedBytes unrecordedBytes, Listener listener) {
    this.context = context;
    this.unrecordedBytes = unrecordedBytes;
    this.listener = listener;
  }

  /**
   * Sends the item to a server.
   *
   * @return false if there is no capacity
   */
  boolean start(ItemServers servers, RunningJob job, ItemRun itemRun, Route route, BatchItem item) {
    int run = itemRun.begin(context.timers().now());
    ItemServers.RunHandle handle =
        servers.start(
            job.record.tenant(),
            route,
            item,
            itemRun.lastEventId(),
            new CurrentRunListener(job, itemRun, run, route));
    if (handle == null) {
      itemRun.abortStart(run);
      return false;
    }
    job.timeline.onSent(itemRun.sentAt());
    itemRun.onSent(run, handle);
    return true;
  }

  /** Processes the events and the outcome of a run while it is the current run of its item. */
  private final class CurrentRunListener implements ItemServers.RunListener {
    private final RunningJob job;
    private final ItemRun itemRun;
    private final int run;
    private final Route route;

    CurrentRunListener(RunningJob job, ItemRun itemRun, int run, Route route) {
      this.job = job;
      this.itemRun = itemRun;
      this.run = run;
      this.route = route;
    }

    @Override
    public void onEvent(long eventId, byte[] data) {
      if (itemRun.isCurrent(run)) {
        appendEvent(job, itemRun, eventId, data);
      }
    }

    @Override
    public void onEnded(ItemServers.RunOutcome outcome) {
      if (itemRun.isCurrent(run)) {
        itemRun.end();
        job.timeline.onEnded(outcome, itemRun.sentAt(), context.timers().now());
        onRunEnded(job, itemRun, outcome, route);
      }
    }
  }

  private void appendEvent(RunningJob job, ItemRun itemRun, long eventId, byte[] data) {
    int bytesBefore = itemRun.textBytes();
    boolean inSequence = itemRun.appendEvent(eventId, data);
    job.timeline.onEvent(context.timers().now());
    unrecordedBytes.add(itemRun.textBytes() - bytesBefore);
    if (!inSequence) {
      itemRun.cancel();
      job.timeline.onCancelled();
      unrecordedBytes.release(itemRun.textBytes());
      itemRun.discardText();
      retryLater(job, itemRun);
    }
  }

  private void onRunEnded(
      RunningJob job, ItemRun itemRun, ItemServers.RunOutcome outcome, Route route) {
    switch (outcome) {
      case COMPLETED -> onCompleted(job, itemRun);
      case REJECTED -> finish(job, itemRun, false);
      case FAILED -> onFailed(job, itemRun, route);
      default -> retryLater(job, itemRun); // NOT_RUN or OUTCOME_UNKNOWN
    }
    listener.onDispatchable();
  }

  private void onCompleted(RunningJob job, ItemRun itemRun) {
    if (itemRun.hasText()) {
      finish(job, itemRun, true);
    } else {
      retryLater(job, itemRun);
    }
  }

  /** Counts the failed attempt. The item is run again only once the attempt is recorded. */
  private void onFailed(RunningJob job, ItemRun itemRun, Route route) {
    itemRun.failedAttempts++;
    if (itemRun.failedAttempts >= Math.max(1, route.maxAttempts())) {
      finish(job, itemRun, false);
    } else {
      listener.onUnrecorded(job);
    }
  }

  /** Sets the result of the item: the text received, or no text if the item has finally failed. */
  void finish(RunningJob job, ItemRun itemRun, boolean succeeded) {
    unrecordedBytes.release(itemRun.textBytes());
    RunningJob.FinishedItem finished = job.finish(itemRun, succeeded);
    unrecordedBytes.add(finished.text().length);
    listener.onUnrecorded(job);
  }

  /** Makes the item ready again after a backoff, which doubles with each run without an event. */
  void retryLater(RunningJob job, ItemRun itemRun) {
    itemRun.runsWithoutEvents = itemRun.hasReceivedEvent() ? 0 : itemRun.runsWithoutEvents + 1;
    int doublings = Math.min(itemRun.runsWithoutEvents, MAX_BACKOFF_DOUBLINGS);
    long backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS << doublings);
    context
        .timers()
        .schedule(
            context.jittered(backoffMs),
            () -> {
              if (!job.stopped && !itemRun.done && !itemRun.isInFlight()) {
                job.readyItems.add(itemRun.itemIndex);
                listener.onDispatchable();
              }
            });
  }
}
