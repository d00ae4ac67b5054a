package elmsail.batch.run;

import elmsail.batch.client.BatchContext;
import elmsail.batch.client.BatchJobClient;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Blob;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;

/**
 * Lists finished items, and counts failed runs of the others: one change of a job's record at a
 * time. The texts go with the first round, so that they are at a majority before anyone is asked to
 * take the listing: whoever finishes it finds them there.
 */
final class ResultRecorder {
  private static final long GATHER_MS = 150;
  private static final long CHANGE_MS = 2_000;
  private static final long BACKOFF_MS = 150;
  private static final int MOST_BYTES = 1 << 20;

  /** With a note there is always a first round. */
  private static final byte[] NO_NOTE = {};

  private final BatchContext context;
  private final BatchJobClient store;
  private final JobRunner runner;
  private final Consumer<String> changed;

  ResultRecorder(
      BatchContext context, BatchJobClient store, JobRunner runner, Consumer<String> changed) {
    this.context = context;
    this.store = store;
    this.runner = runner;
    this.changed = changed;
  }

  /**
   * Lists what is finished and counts what failed, with what else is finished in the next moments.
   */
  void soon(RunningJob job) {
    if (job.listing || job.stopped || !job.hasNews()) {
      return;
    }
    long wait = job.listedAt + GATHER_MS - context.timers().now();
    if (job.allDone()) {
      context.timers().execute(() -> list(job));
    } else if (!job.listingSet) {
      job.listingSet = true;
      context
          .timers()
          .schedule(
              wait,
              () -> {
                job.listingSet = false;
                list(job);
              });
    }
  }

  private void list(RunningJob job) {
    if (job.listing || job.stopped || !job.hasNews()) {
      return;
    }
    job.listing = true;
    long began = context.timers().now();
    List<RunningJob.Finished> batch = job.batch(MOST_BYTES);
    List<JobRecord.FailureCount> counts = job.unrecordedFailures();
    context
        .register()
        .change(
            JobRecord.keyOf(job.id),
            found -> wanted(job, batch, counts, found),
            texts(batch),
            NO_NOTE,
            CHANGE_MS)
        .whenComplete(
            (held, failed) -> {
              job.listing = false;
              if (job.stopped) {
                return;
              }
              if (failed == null) {
                listed(job, batch, held.current(), began);
              } else {
                context.timers().schedule(context.about(BACKOFF_MS), () -> list(job));
              }
            });
  }

  private static List<Blob> texts(List<RunningJob.Finished> batch) {
    List<Blob> texts = new ArrayList<>();
    for (RunningJob.Finished one : batch) {
      if (one.result().delivered()) {
        Blob text = new Blob();
        text.name = one.result().textName();
        text.bytes = one.text();
        texts.add(text);
      }
    }
    return texts;
  }

  /** Null where the job is no more this gateway's in this term. */
  private JobRecord ours(RunningJob job, byte[] value) {
    if (value == null) {
      return null;
    }
    JobRecord record = JobRecord.unpacked(value);
    boolean ours = record.term() == job.term && record.runner().equals(context.self());
    return ours && !record.ended() ? record : null;
  }

  private Register.ProposedValue wanted(
      RunningJob job,
      List<RunningJob.Finished> batch,
      List<JobRecord.FailureCount> failed,
      Register.ObservedState found) {
    JobRecord record = ours(job, found.value());
    if (record == null || job.stopped) {
      return new Register.ProposedValue(null, List.of());
    }
    BitSet listed = record.listed();
    List<JobRecord.Result> more = new ArrayList<>();
    for (RunningJob.Finished one : batch) {
      if (!listed.get(one.result().index())) {
        more.add(one.result());
      }
    }
    boolean counted =
        failed.stream().allMatch(one -> record.failuresOf(one.index()) >= one.count());
    if (more.isEmpty() && counted) {
      return new Register.ProposedValue(null, List.of());
    }
    return new Register.ProposedValue(
        record.listing(more, failed, job.ageMs(context.timers().now())).packed(), List.of());
  }

  private void listed(
      RunningJob job, List<RunningJob.Finished> batch, Register.VersionedValue now, long began) {
    store.decided(job.id, now);
    JobRecord record = ours(job, now.value());
    if (record == null) {
      runner.stop(job.id);
      changed.accept(job.id);
      return;
    }
    job.record = record;
    job.listedAt = context.timers().now();
    job.confirmed(began);
    BitSet listed = record.listed();
    for (RunningJob.Finished one : batch) {
      if (listed.get(one.result().index()) && job.finished.remove(one.result().index()) != null) {
        runner.unheld(one.text().length);
        if (one.result().delivered()) {
          store.cacheText(job.id, one.result(), one.text());
        }
      }
    }
    runner.recordedFailures(job);
    if (record.complete()) {
      runner.stop(job.id);
    } else {
      soon(job);
    }
    changed.accept(job.id);
  }
}
