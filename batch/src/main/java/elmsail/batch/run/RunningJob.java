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
 * One job that this gateway runs in one term: the newest known record, the runs of the items and
 * the unrecorded results. Ordered by due time. Shared by the classes of this package and confined
 * to the gateway's event loop.
 */
final class RunningJob implements Comparable<RunningJob> {
  /** An item whose result is not recorded yet; the text is empty if the item failed. */
  record FinishedItem(JobRecord.Result result, byte[] text) {}

  final String id;

  /** The term of this gateway's lease. */
  final long term;

  /** An upper bound on the time when the job was accepted, in ms of the steady clock. */
  final long acceptedAt;

  /** The newest committed record that this gateway has received as the runner. */
  JobRecord record;

  /** The items with their requests; null until the body is loaded. */
  List<BatchItem> items;

  /** Whether a fetch of the body is in flight. */
  boolean fetchingBody;

  /** One element per item, by item index. */
  final ItemRun[] itemRuns;

  /** The indexes of the items that may be started, the lowest first. */
  final PriorityQueue<Integer> readyItems = new PriorityQueue<>();

  /** The items whose results are not recorded yet, by item index, in the order of finishing. */
  final Map<Integer, FinishedItem> unrecordedItems = new LinkedHashMap<>();

  /** Whether a change of the record is in flight. */
  boolean recording;

  /** Whether a timer will start the next change of the record. */
  boolean recordingScheduled;

  /** When the record was last changed, in ms of the steady clock. */
  long recordedAt;

  /**
   * The latest time at which the job was certainly open and this gateway was its runner, in ms of
   * the steady clock.
   */
  long leaseConfirmedAt;

  /** Whether a read of the record is in flight that confirms the lease. */
  boolean confirmingLeaseByRead;

  /** Whether this gateway has stopped running the job; never reset. */
  boolean stopped;

  /** The course of the execution, which is logged if the job is late. */
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
        readyItems.add(i);
      }
    }
  }

  /** When the results are due, in ms of the steady clock. */
  long dueAt() {
    return acceptedAt + record.completionTargetMs();
  }

  /** A lower bound on the age of the job, in ms. */
  long ageMs(long now) {
    return now - acceptedAt;
  }

  /** Whether items without a result may be given up. */
  boolean isExpired(long now) {
    return record.itemTtlMs() > 0 && ageMs(now) > record.itemTtlMs();
  }

  /** Whether there are items to start. */
  boolean hasReadyItems() {
    return !stopped && !readyItems.isEmpty();
  }

  /** The number of items that are being run. */
  int itemsInFlight() {
    int inFlight = 0;
    for (ItemRun itemRun : itemRuns) {
      inFlight += itemRun.isInFlight() ? 1 : 0;
    }
    return inFlight;
  }

  /** Confirms that this gateway held the lease at this time, in ms of the steady clock. */
  void confirmLease(long at) {
    leaseConfirmedAt = Math.max(leaseConfirmedAt, at);
  }

  /** Marks the item as done and adds its result to the unrecorded results. */
  FinishedItem finish(ItemRun itemRun, boolean succeeded) {
    byte[] text = succeeded ? itemRun.text() : new byte[0];
    itemRun.discardText();
    itemRun.done = true;
    JobRecord.Result result = new JobRecord.Result(itemRun.itemIndex, succeeded, term, text.length);
    FinishedItem finishedItem = new FinishedItem(result, text);
    unrecordedItems.put(itemRun.itemIndex, finishedItem);
    return finishedItem;
  }

  /**
   * Cancels all runs and discards all texts.
   *
   * @return the total length of the discarded texts, in bytes
   */
  long discard() {
    long bytes = 0;
    for (ItemRun itemRun : itemRuns) {
      bytes += itemRun.textBytes();
      itemRun.discardText();
      itemRun.cancel();
    }
    for (FinishedItem finishedItem : unrecordedItems.values()) {
      bytes += finishedItem.text().length;
    }
    unrecordedItems.clear();
    return bytes;
  }

  /** Whether there are results or failed attempts that the record does not contain. */
  boolean hasUnrecorded() {
    return !unrecordedItems.isEmpty() || !unrecordedFailedAttempts().isEmpty();
  }

  /** The failed attempts of items without a result that the record does not contain. */
  List<JobRecord.FailedAttempts> unrecordedFailedAttempts() {
    List<JobRecord.FailedAttempts> failedAttempts = new ArrayList<>();
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done && itemRun.failedAttempts > itemRun.recordedFailedAttempts) {
        failedAttempts.add(new JobRecord.FailedAttempts(itemRun.itemIndex, itemRun.failedAttempts));
      }
    }
    return failedAttempts;
  }

  /** Applies the failed attempts in the record; returns the items that may now run again. */
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

  /** Whether every item has a result, recorded or not. */
  boolean allItemsDone() {
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done) {
        return false;
      }
    }
    return true;
  }

  /** The next results to record: at least one, and more up to {@code maxBytes} of text in total. */
  List<FinishedItem> nextBatch(int maxBytes) {
    List<FinishedItem> batch = new ArrayList<>();
    int bytes = 0;
    for (FinishedItem finishedItem : unrecordedItems.values()) {
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
