package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;

/** Gets the bodies of jobs that this gateway runs, a few at a time. On the loop. */
final class BodyLoader {
  private static final long FETCH_MS = 1_500;
  private static final int MOST_FETCHES = 2;
  private static final long BACKOFF_MS = 200;

  private final BatchContext context;
  private final BatchJobClient store;
  private final Runnable loaded;
  private int fetches;

  /**
   * @param loaded called whenever a further job may be looked at
   */
  BodyLoader(BatchContext context, BatchJobClient store, Runnable loaded) {
    this.context = context;
    this.store = store;
    this.loaded = loaded;
  }

  /** Begins to fetch the job's items, unless that is under way or enough others are. */
  void fetch(RunningJob job) {
    if (job.fetching || fetches >= MOST_FETCHES) {
      return;
    }
    job.fetching = true;
    fetches++;
    store
        .batchItems(job.id, job.record, FETCH_MS)
        .whenComplete(
            (batchItems, failed) -> {
              fetches--;
              if (failed == null) {
                job.batchItems = batchItems;
                job.timeline.bodyReady(context.timers().now());
                free(job);
              } else {
                context.timers().schedule(context.about(BACKOFF_MS), () -> free(job));
              }
            });
  }

  private void free(RunningJob job) {
    job.fetching = false;
    loaded.run();
  }
}
