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
  private static final long BATCH_DELAY_MS = 150;
  private static final long CHANGE_TIMEOUT_MS = 2_000;
  private static final long BACKOFF_MS = 150;
  private static final int MAX_BATCH_BYTES = 1 << 20;

  /** With a note there is always a first round. */
  private static final byte[] NO_NOTE = {};

  private final BatchContext context;
  private final BatchJobClient jobClient;
  private final JobRunner runner;
  private final Consumer<String> onJobChanged;

  ResultRecorder(
      BatchContext context,
      BatchJobClient jobClient,
      JobRunner runner,
      Consumer<String> onJobChanged) {
    this.context = context;
    this.jobClient = jobClient;
    this.runner = runner;
    this.onJobChanged = onJobChanged;
  }

  /**
   * Lists what is finished and counts what failed, with what else is finished in the next moments.
   */
  void scheduleRecording(RunningJob job) {
    if (job.recording || job.stopped || !job.hasUnrecorded()) {
      return;
    }
    long delayMs = job.recordedAt + BATCH_DELAY_MS - context.timers().now();
    if (job.allItemsDone()) {
      context.timers().execute(() -> recordResults(job));
    } else if (!job.recordingScheduled) {
      job.recordingScheduled = true;
      context
          .timers()
          .schedule(
              delayMs,
              () -> {
                job.recordingScheduled = false;
                recordResults(job);
              });
    }
  }

  private void recordResults(RunningJob job) {
    if (job.recording || job.stopped || !job.hasUnrecorded()) {
      return;
    }
    job.recording = true;
    long startedAt = context.timers().now();
    List<RunningJob.FinishedItem> batch = job.nextBatch(MAX_BATCH_BYTES);
    List<JobRecord.FailedAttempts> failedAttempts = job.unrecordedFailedAttempts();
    context
        .register()
        .change(
            JobRecord.registerKey(job.id),
            found -> proposeResults(job, batch, failedAttempts, found),
            textBlobs(batch),
            NO_NOTE,
            CHANGE_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              job.recording = false;
              if (job.stopped) {
                return;
              }
              if (failure == null) {
                onRecorded(job, batch, result.current(), startedAt);
              } else {
                context.timers().schedule(context.jittered(BACKOFF_MS), () -> recordResults(job));
              }
            });
  }

  private static List<Blob> textBlobs(List<RunningJob.FinishedItem> batch) {
    List<Blob> blobs = new ArrayList<>();
    for (RunningJob.FinishedItem finishedItem : batch) {
      if (finishedItem.result().succeeded()) {
        Blob text = new Blob();
        text.name = finishedItem.result().textBlobName();
        text.bytes = finishedItem.text();
        blobs.add(text);
      }
    }
    return blobs;
  }

  /** Null where the job is no more this gateway's in this term. */
  private JobRecord recordIfOwned(RunningJob job, byte[] value) {
    if (value == null) {
      return null;
    }
    JobRecord record = JobRecord.decode(value);
    boolean owned = record.term() == job.term && record.runner().equals(context.localAddress());
    return owned && !record.cancelled() ? record : null;
  }

  private Register.ProposedValue proposeResults(
      RunningJob job,
      List<RunningJob.FinishedItem> batch,
      List<JobRecord.FailedAttempts> failedAttempts,
      Register.ObservedState found) {
    JobRecord record = recordIfOwned(job, found.value());
    if (record == null || job.stopped) {
      return new Register.ProposedValue(null, List.of());
    }
    BitSet recorded = record.recordedItems();
    List<JobRecord.Result> newResults = new ArrayList<>();
    for (RunningJob.FinishedItem finishedItem : batch) {
      if (!recorded.get(finishedItem.result().itemIndex())) {
        newResults.add(finishedItem.result());
      }
    }
    boolean failuresRecorded =
        failedAttempts.stream()
            .allMatch(
                attempts -> record.failedAttemptsOf(attempts.itemIndex()) >= attempts.count());
    if (newResults.isEmpty() && failuresRecorded) {
      return new Register.ProposedValue(null, List.of());
    }
    return new Register.ProposedValue(
        record.withResults(newResults, failedAttempts, job.ageMs(context.timers().now())).encode(),
        List.of());
  }

  private void onRecorded(
      RunningJob job,
      List<RunningJob.FinishedItem> batch,
      Register.VersionedValue committed,
      long startedAt) {
    jobClient.onCommitted(job.id, committed);
    JobRecord record = recordIfOwned(job, committed.value());
    if (record == null) {
      runner.stop(job.id);
      onJobChanged.accept(job.id);
      return;
    }
    job.record = record;
    job.recordedAt = context.timers().now();
    job.confirm(startedAt);
    BitSet recorded = record.recordedItems();
    for (RunningJob.FinishedItem finishedItem : batch) {
      if (recorded.get(finishedItem.result().itemIndex())
          && job.finished.remove(finishedItem.result().itemIndex()) != null) {
        runner.releaseBytes(finishedItem.text().length);
        if (finishedItem.result().succeeded()) {
          jobClient.cacheText(job.id, finishedItem.result(), finishedItem.text());
        }
      }
    }
    runner.onFailuresRecorded(job);
    if (record.isComplete()) {
      runner.stop(job.id);
    } else {
      scheduleRecording(job);
    }
    onJobChanged.accept(job.id);
  }
}
