package elmsail.batch.run;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Logs the jobs that this gateway stops running: at level INFO if the job is past its due time and
 * was not cancelled, else at DEBUG. The log line is documented for operators in {@code
 * docs/tier-operations.md}.
 */
final class JobEndLog {
  private static final Logger LOG = LoggerFactory.getLogger(JobEndLog.class);

  private JobEndLog() {}

  /** Logs a job that this gateway stops running. */
  static void log(RunningJob job, long now) {
    boolean late = now > job.dueAt() && !job.record.cancelled();
    LOG.atLevel(late ? Level.INFO : Level.DEBUG)
        .log(
            "job {} term {} {}: listed {} of {}, undeliverable {}, {}",
            job.id,
            job.term,
            late ? "late" : "over",
            job.record.results().size(),
            job.itemRuns.length,
            job.record.failedItemCount(),
            late || LOG.isDebugEnabled() ? job.timeline.describe(now) : "");
  }
}
