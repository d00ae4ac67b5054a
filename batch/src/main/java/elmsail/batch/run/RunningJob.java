package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.messages.JobRecord;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One job that this gateway runs in one term: the newest record known, the runs of its items and
 * the results that are not recorded yet. Ordered by due time. Shared by the classes of this package
 * and confined to the gateway's event loop.
 */
final class RunningJob implements Comparable<RunningJob> {
  /** An item whose result is not recorded yet; the text is empty if the item failed. */
  record FinishedItem(JobRecord.Result result, byte[] text) {}

  final String id;

  /** The term of this gateway's lease. */
  final long term;

  /** When the job was accepted, or later, in ms of the steady clock. */
  final long acceptedAt;

  /** The newest committed record that this gateway has seen as the runner. */
  JobRecord record;

  /** Null until the body is loaded. */
  List<BatchItem> items;

  /** Whether the body is being loaded. */
  boolean fetching;

  /** One for each item, by its index. */
  final ItemRun[] itemRuns;

  /** The indexes of the items that may be started, the lowest first. */
  final PriorityQueue<Integer> ready = new PriorityQueue<>();

  /** By item index, in the order in which they finished. */
  final Map<Integer, FinishedItem> finished = new LinkedHashMap<>();

  /** Whether a change of the record is in flight. */
  boolean recording;

  /** Whether a timer will start the next change of the record. */
  boolean recordingScheduled;

  /** When the record was last changed, in ms of the steady clock. */
  long recordedAt;

  /** When the job last certainly was open and run by this gateway, in ms of the steady clock. */
  long leaseConfirmedAt;

  /** Whether the record is being read to confirm the lease. */
  boolean confirmingLeaseByRead;

  /** Set for good once this gateway no longer runs the job. */
  boolean stopped;

  /** For the log: why the job was late. */
  final JobTimeline timeline;

  RunningJob(String id, JobRecord record, long acceptedAt, long confirmedAt, long now) {
    this.id = id;
    this.record = record;
    this.term = record.term();
    this.acceptedAt = acceptedAt;
    this.leaseConfirmedAt = confirmedAt;
    this.recordedAt = acceptedAt;
    this.timeline = new JobTimeline(acceptedAt, now);
    this.itemRuns = new ItemRun[record.items().size()];
    BitSet recorded = record.recordedItems();
    for (int i = 0; i < itemRuns.length; i++) {
      itemRuns[i] = new ItemRun(i);
      itemRuns[i].failedAttempts = record.failedAttemptsOf(i);
      itemRuns[i].recordedFailedAttempts = itemRuns[i].failedAttempts;
      if (recorded.get(i)) {
        itemRuns[i].done = true;
      } else {
        ready.add(i);
      }
    }
  }

  /** When the results are due, in ms of the steady clock. */
  long dueAt() {
    return acceptedAt + record.completionTargetMs();
  }

  /** The least age of the job, in ms. */
  long ageMs(long now) {
    return now - acceptedAt;
  }

  /** Whether items without a result may be given up. */
  boolean isExpired(long now) {
    return record.itemTtlMs() > 0 && ageMs(now) > record.itemTtlMs();
  }

  /** Whether there are items to start. */
  boolean hasReadyItems() {
    return !stopped && !ready.isEmpty();
  }

  /** The number of items that are being run. */
  int itemsInFlight() {
    int inFlight = 0;
    for (ItemRun itemRun : itemRuns) {
      inFlight += itemRun.isInFlight() ? 1 : 0;
    }
    return inFlight;
  }

  /** The lease was certainly held at this time, in ms of the steady clock. */
  void confirmLease(long at) {
    leaseConfirmedAt = Math.max(leaseConfirmedAt, at);
  }

  /** Adds the result of the item to those that are to be recorded. */
  FinishedItem finish(ItemRun itemRun, boolean succeeded) {
    byte[] text = succeeded ? itemRun.text() : new byte[0];
    itemRun.discardText();
    itemRun.done = true;
    JobRecord.Result result = new JobRecord.Result(itemRun.itemIndex, succeeded, term, text.length);
    FinishedItem finishedItem = new FinishedItem(result, text);
    finished.put(itemRun.itemIndex, finishedItem);
    return finishedItem;
  }

  /**
   * Cancels all runs and discards all texts.
   *
   * @return the length of these texts in bytes
   */
  long discard() {
    long bytes = 0;
    for (ItemRun itemRun : itemRuns) {
      bytes += itemRun.textBytes();
      itemRun.discardText();
      itemRun.cancel();
    }
    for (FinishedItem finishedItem : finished.values()) {
      bytes += finishedItem.text().length;
    }
    finished.clear();
    return bytes;
  }

  /** Whether there are results or failed attempts that the record lacks. */
  boolean hasUnrecorded() {
    return !finished.isEmpty() || !unrecordedFailedAttempts().isEmpty();
  }

  /** The failed attempts that the record lacks, of items without a result. */
  List<JobRecord.FailedAttempts> unrecordedFailedAttempts() {
    List<JobRecord.FailedAttempts> failedAttempts = new ArrayList<>();
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done && itemRun.failedAttempts > itemRun.recordedFailedAttempts) {
        failedAttempts.add(new JobRecord.FailedAttempts(itemRun.itemIndex, itemRun.failedAttempts));
      }
    }
    return failedAttempts;
  }

  /** Applies the failed attempts of the record; returns the items that may run again by it. */
  List<ItemRun> applyRecordedFailedAttempts() {
    List<ItemRun> retryable = new ArrayList<>();
    for (ItemRun itemRun : itemRuns) {
      int recorded = record.failedAttemptsOf(itemRun.itemIndex);
      if (recorded > itemRun.recordedFailedAttempts) {
        itemRun.recordedFailedAttempts = recorded;
        if (!itemRun.done && !itemRun.isInFlight() && recorded == itemRun.failedAttempts) {
          retryable.add(itemRun);
        }
      }
    }
    return retryable;
  }

  /** Whether every item has a result, so that only the recording remains. */
  boolean allItemsDone() {
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done) {
        return false;
      }
    }
    return true;
  }

  /** The next results to record: one at least, and further ones up to so many bytes in all. */
  List<FinishedItem> nextBatch(int maxBytes) {
    List<FinishedItem> batch = new ArrayList<>();
    int bytes = 0;
    for (FinishedItem finishedItem : finished.values()) {
      bytes += finishedItem.text().length;
      if (!batch.isEmpty() && bytes > maxBytes) {
        break;
      }
      batch.add(finishedItem);
    }
    return batch;
  }

  @Override
  public int compareTo(RunningJob other) {
    int byDueTime = Long.compare(dueAt(), other.dueAt());
    return byDueTime != 0 ? byDueTime : id.compareTo(other.id);
  }
}
