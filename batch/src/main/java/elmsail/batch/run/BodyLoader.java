package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;

/** Gets the bodies of jobs that this gateway runs, a few at a time. On the loop. */
final class BodyLoader {
  private static final long FETCH_TIMEOUT_MS = 1_500;
  private static final int MAX_CONCURRENT_FETCHES = 2;
  private static final long BACKOFF_MS = 200;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final Runnable onFetchEnded;
  private int fetchesInFlight;

  /**
   * @param onFetchEnded called whenever a further job may be looked at
   */
  BodyLoader(BatchContext context, BatchJobClient jobClient, Runnable onFetchEnded) {
    this.context = context;
    this.jobClient = jobClient;
    this.onFetchEnded = onFetchEnded;
  }

  /** Begins to fetch the job's items, unless that is under way or enough others are. */
  void fetch(RunningJob job) {
    if (job.fetching || fetchesInFlight >= MAX_CONCURRENT_FETCHES) {
      return;
    }
    job.fetching = true;
    fetchesInFlight++;
    jobClient
        .readItems(job.id, job.record, FETCH_TIMEOUT_MS)
        .whenComplete(
            (items, failure) -> {
              fetchesInFlight--;
              if (failure == null) {
                job.items = items;
                job.timeline.onBodyLoaded(context.timers().now());
                endFetch(job);
              } else {
                context.timers().schedule(context.jittered(BACKOFF_MS), () -> endFetch(job));
              }
            });
  }

  private void endFetch(RunningJob job) {
    job.fetching = false;
    onFetchEnded.run();
  }
}
