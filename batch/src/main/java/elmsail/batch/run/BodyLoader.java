package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;

/**
 * Loads the bodies of the jobs that this gateway runs, with a limit on concurrent fetches. Confined
 * to the gateway's event loop.
 */
final class BodyLoader {
  private static final long FETCH_TIMEOUT_MS = 1_500;
  private static final int MAX_CONCURRENT_FETCHES = 2;
  private static final long BACKOFF_MS = 200;

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final Runnable onFetchEnded;
  private int fetchesInFlight;

  /**
   * @param onFetchEnded called whenever another fetch may be started
   */
  BodyLoader(BatchContext context, BatchJobClient jobClient, Runnable onFetchEnded) {
    this.context = context;
    this.jobClient = jobClient;
    this.onFetchEnded = onFetchEnded;
  }

  /** Fetches the items of a job, unless this fetch or too many other fetches are in flight. */
  void fetch(RunningJob job) {
    if (job.fetchingBody || fetchesInFlight >= MAX_CONCURRENT_FETCHES) {
      return;
    }
    job.fetchingBody = true;
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
    job.fetchingBody = false;
    onFetchEnded.run();
  }
}
