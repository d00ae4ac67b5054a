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
 * Records the results of finished items and the failed attempts of the other items, with at most
 * one change of a job's record in flight. The texts are sent with the prepare phase, so that a
 * majority has stored them before any store is requested to accept the record that names them.
 * Confined to the gateway's event loop.
 */
final class ResultRecorder {
  /** Results of items that finish within this time after the last change are recorded together. */
  private static final long BATCH_DELAY_MS = 150;

  private static final long CHANGE_TIMEOUT_MS = 2_000;
  private static final long BACKOFF_MS = 150;
  private static final int MAX_BATCH_BYTES = 1 << 20;

  /**
   * Forces the register to run the prepare phase, which the texts are sent with: any side effect,
   * even an empty array, prevents the register from skipping that phase.
   */
  private static final byte[] EMPTY_SIDE_EFFECT = {};

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

  /** The results and failed attempts that one change adds to a record. */
  private record Update(
      List<RunningJob.FinishedItem> finishedItems, List<JobRecord.FailedAttempts> failedAttempts) {

    List<Blob> textBlobs() {
      List<Blob> blobs = new ArrayList<>();
      for (RunningJob.FinishedItem item : finishedItems) {
        if (item.result().succeeded()) {
          Blob blob = new Blob();
          blob.name = item.result().textBlobName();
          blob.bytes = item.text();
          blobs.add(blob);
        }
      }
      return blobs;
    }

    /** The results that the record does not contain yet. */
    List<JobRecord.Result> newResults(JobRecord record) {
      BitSet recorded = record.recordedItems();
      List<JobRecord.Result> newResults = new ArrayList<>();
      for (RunningJob.FinishedItem item : finishedItems) {
        if (!recorded.get(item.result().itemIndex())) {
          newResults.add(item.result());
        }
      }
      return newResults;
    }

    boolean hasNewFailedAttempts(JobRecord record) {
      return failedAttempts.stream()
          .anyMatch(attempts -> record.failedAttemptsOf(attempts.itemIndex()) < attempts.count());
    }
  }

  /** Schedules the recording of unrecorded data: at once if all items are done, else delayed. */
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
    Update update = new Update(job.nextBatch(MAX_BATCH_BYTES), job.unrecordedFailedAttempts());
    context
        .register()
        .change(
            JobRecord.registerKey(job.id),
            found -> BatchJobClient.proposal(propose(job, update, found.value())),
            update.textBlobs(),
            EMPTY_SIDE_EFFECT,
            CHANGE_TIMEOUT_MS)
        .whenComplete(
            (result, failure) -> {
              job.recording = false;
              if (job.stopped) {
                return;
              }
              if (failure == null) {
                onRecorded(job, update, result.current(), startedAt);
              } else {
                context.timers().schedule(context.jittered(BACKOFF_MS), () -> recordResults(job));
              }
            });
  }

  /**
   * @return the record to propose, or null if there is nothing to add to the current record
   */
  private JobRecord propose(RunningJob job, Update update, byte[] current) {
    JobRecord record = recordIfOwned(job, current);
    if (record == null || job.stopped) {
      return null;
    }
    List<JobRecord.Result> newResults = update.newResults(record);
    if (newResults.isEmpty() && !update.hasNewFailedAttempts(record)) {
      return null;
    }
    long ageMs = job.ageMs(context.timers().now());
    return record.withResults(newResults, update.failedAttempts(), ageMs);
  }

  /** Returns the record, or null if this gateway is no longer the job's runner in this term. */
  private JobRecord recordIfOwned(RunningJob job, byte[] value) {
    JobRecord record = JobRecord.decodeNullable(value);
    boolean owned =
        record != null
            && record.term() == job.term
            && record.runner().equals(context.localAddress())
            && !record.cancelled();
    return owned ? record : null;
  }

  private void onRecorded(
      RunningJob job, Update update, Register.VersionedValue committed, long startedAt) {
    jobClient.onCommitted(job.id, committed);
    JobRecord record = recordIfOwned(job, committed.value());
    if (record == null) {
      runner.stop(job.id);
      onJobChanged.accept(job.id);
      return;
    }
    job.record = record;
    job.recordedAt = context.timers().now();
    job.confirmLease(startedAt);
    releaseRecorded(job, update);
    runner.onFailuresRecorded(job);
    if (record.isComplete()) {
      runner.stop(job.id);
    } else {
      scheduleRecording(job);
    }
    onJobChanged.accept(job.id);
  }

  private void releaseRecorded(RunningJob job, Update update) {
    BitSet recorded = job.record.recordedItems();
    for (RunningJob.FinishedItem item : update.finishedItems()) {
      int index = item.result().itemIndex();
      if (recorded.get(index) && job.unrecordedItems.remove(index) != null) {
        runner.onTextRecorded(item.text().length);
        if (item.result().succeeded()) {
          jobClient.cacheText(job.id, item.result(), item.text());
        }
      }
    }
  }
}
