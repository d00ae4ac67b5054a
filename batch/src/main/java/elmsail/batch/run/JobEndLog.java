package elmsail.batch.run;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * The log of jobs that this gateway stops running: a line for each that is past its due time, and a
 * debug line for each other one.
 */
final class JobEndLog {
  private static final Logger LOG = LoggerFactory.getLogger(JobEndLog.class);

  private JobEndLog() {}

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
