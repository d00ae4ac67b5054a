package elmsail.batch.run;

import elmsail.batch.BatchItem;
import elmsail.batch.messages.JobRecord;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** One job that this gateway runs, in one term. */
final class RunningJob implements Comparable<RunningJob> {
  /** An item that is done and not listed yet; the text is empty where it is undeliverable. */
  record FinishedItem(JobRecord.Result result, byte[] text) {}

  final String id;
  final long term;

  /** Of the steady clock here: when the job was accepted, or later. */
  final long acceptedAt;

  JobRecord record;

  /** Null until they are fetched. */
  List<BatchItem> items;

  boolean fetching;
  final ItemRun[] itemRuns;

  /** ItemDispatcher to be started, the first of the job first. */
  final PriorityQueue<Integer> ready = new PriorityQueue<>();

  final Map<Integer, FinishedItem> finished = new LinkedHashMap<>();
  int itemsInFlight;
  boolean recording;
  boolean recordingScheduled;
  long recordedAt;

  /** Of the steady clock: at this moment the job surely was open and ours. */
  long confirmedAt;

  boolean confirmingRead;
  boolean stopped;

  /** What an operator needs to tell why the job was late. */
  final JobTimeline timeline;

  RunningJob(String id, JobRecord record, long acceptedAt, long confirmedAt, long now) {
    this.id = id;
    this.record = record;
    this.term = record.term();
    this.acceptedAt = acceptedAt;
    this.confirmedAt = confirmedAt;
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

  long dueAt() {
    return acceptedAt + record.completionTargetMs();
  }

  /** At the least. */
  long ageMs(long now) {
    return now - acceptedAt;
  }

  /** Whether its items may be given up. */
  boolean isExpired(long now) {
    return record.itemTtlMs() > 0 && ageMs(now) > record.itemTtlMs();
  }

  void confirm(long at) {
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Puts the item's result to those to be listed. */
  void finish(ItemRun itemRun, boolean succeeded) {
    byte[] text = succeeded ? itemRun.text() : new byte[0];
    itemRun.discardText();
    itemRun.done = true;
    finished.put(
        itemRun.itemIndex,
        new FinishedItem(
            new JobRecord.Result(itemRun.itemIndex, succeeded, term, text.length), text));
  }

  /** Cuts all runs and forgets all texts; gives how many bytes these had. */
  long cancelRuns() {
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

  /** Whether there is anything that is to stand in the record and doesn't yet. */
  boolean hasUnrecorded() {
    return !finished.isEmpty() || !unrecordedFailedAttempts().isEmpty();
  }

  /** The counts that the record lacks, of items that are not finished. */
  List<JobRecord.FailedAttempts> unrecordedFailedAttempts() {
    List<JobRecord.FailedAttempts> failedAttempts = new ArrayList<>();
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done && itemRun.failedAttempts > itemRun.recordedFailedAttempts) {
        failedAttempts.add(new JobRecord.FailedAttempts(itemRun.itemIndex, itemRun.failedAttempts));
      }
    }
    return failedAttempts;
  }

  /** Takes what the record says of failures; gives the items that are free to run again by it. */
  List<ItemRun> applyRecordedFailedAttempts() {
    List<ItemRun> retryable = new ArrayList<>();
    for (ItemRun itemRun : itemRuns) {
      int recorded = record.failedAttemptsOf(itemRun.itemIndex);
      if (recorded > itemRun.recordedFailedAttempts) {
        itemRun.recordedFailedAttempts = recorded;
        if (!itemRun.done && !itemRun.inFlight && recorded == itemRun.failedAttempts) {
          retryable.add(itemRun);
        }
      }
    }
    return retryable;
  }

  /** Nothing runs, nothing is ready, nothing waits for its next try: only the listing is left. */
  boolean allItemsDone() {
    for (ItemRun itemRun : itemRuns) {
      if (!itemRun.done) {
        return false;
      }
    }
    return true;
  }

  /** The next ones to be listed, of so many bytes in all, and one at least. */
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
    int byDue = Long.compare(dueAt(), other.dueAt());
    return byDue != 0 ? byDue : id.compareTo(other.id);
  }
}
