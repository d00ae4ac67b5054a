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
  record Finished(JobRecord.Result result, byte[] text) {}

  final String id;
  final long term;

  /** Of the steady clock here: when the job was accepted, or later. */
  final long acceptedAt;

  JobRecord record;

  /** Null until they are fetched. */
  List<BatchItem> batchItems;

  boolean fetching;
  final ItemRun[] items;

  /** ItemDispatcher to be started, the first of the job first. */
  final PriorityQueue<Integer> ready = new PriorityQueue<>();

  final Map<Integer, Finished> finished = new LinkedHashMap<>();
  int underWay;
  boolean listing;
  boolean listingSet;
  long listedAt;

  /** Of the steady clock: at this moment the job surely was open and ours. */
  long confirmedAt;

  boolean reading;
  boolean stopped;

  /** What an operator needs to tell why the job was late. */
  final JobTimeline timeline;

  RunningJob(String id, JobRecord record, long acceptedAt, long confirmedAt, long now) {
    this.id = id;
    this.record = record;
    this.term = record.term();
    this.acceptedAt = acceptedAt;
    this.confirmedAt = confirmedAt;
    this.listedAt = acceptedAt;
    this.timeline = new JobTimeline(acceptedAt, now);
    this.items = new ItemRun[record.items().size()];
    BitSet listed = record.listed();
    for (int i = 0; i < items.length; i++) {
      items[i] = new ItemRun(i);
      items[i].failures = record.failuresOf(i);
      items[i].recordedFailures = items[i].failures;
      if (listed.get(i)) {
        items[i].done = true;
      } else {
        ready.add(i);
      }
    }
  }

  long dueAt() {
    return acceptedAt + record.runDueMs();
  }

  /** At the least. */
  long ageMs(long now) {
    return now - acceptedAt;
  }

  /** Whether its items may be given up. */
  boolean outlived(long now) {
    return record.shelfMs() > 0 && ageMs(now) > record.shelfMs();
  }

  void confirmed(long at) {
    confirmedAt = Math.max(confirmedAt, at);
  }

  /** Puts the item's result to those to be listed. */
  void finish(ItemRun item, boolean delivered) {
    byte[] text = delivered ? item.text() : new byte[0];
    item.forgetText();
    item.done = true;
    finished.put(
        item.index,
        new Finished(new JobRecord.Result(item.index, delivered, term, text.length), text));
  }

  /** Cuts all runs and forgets all texts; gives how many bytes these had. */
  long release() {
    long bytes = 0;
    for (ItemRun item : items) {
      bytes += item.bytes();
      item.forgetText();
      item.cancel();
    }
    for (Finished one : finished.values()) {
      bytes += one.text().length;
    }
    finished.clear();
    return bytes;
  }

  /** Whether there is anything that is to stand in the record and doesn't yet. */
  boolean hasNews() {
    return !finished.isEmpty() || !unrecordedFailures().isEmpty();
  }

  /** The counts that the record lacks, of items that are not finished. */
  List<JobRecord.FailureCount> unrecordedFailures() {
    List<JobRecord.FailureCount> counts = new ArrayList<>();
    for (ItemRun item : items) {
      if (!item.done && item.failures > item.recordedFailures) {
        counts.add(new JobRecord.FailureCount(item.index, item.failures));
      }
    }
    return counts;
  }

  /** Takes what the record says of failures; gives the items that are free to run again by it. */
  List<ItemRun> takeRecordedFailures() {
    List<ItemRun> free = new ArrayList<>();
    for (ItemRun item : items) {
      int recorded = record.failuresOf(item.index);
      if (recorded > item.recordedFailures) {
        item.recordedFailures = recorded;
        if (!item.done && !item.underWay && recorded == item.failures) {
          free.add(item);
        }
      }
    }
    return free;
  }

  /** Nothing runs, nothing is ready, nothing waits for its next try: only the listing is left. */
  boolean allDone() {
    for (ItemRun item : items) {
      if (!item.done) {
        return false;
      }
    }
    return true;
  }

  /** The next ones to be listed, of so many bytes in all, and one at least. */
  List<Finished> batch(int mostBytes) {
    List<Finished> batch = new ArrayList<>();
    int bytes = 0;
    for (Finished one : finished.values()) {
      bytes += one.text().length;
      if (!batch.isEmpty() && bytes > mostBytes) {
        break;
      }
      batch.add(one);
    }
    return batch;
  }

  @Override
  public int compareTo(RunningJob other) {
    int byDue = Long.compare(dueAt(), other.dueAt());
    return byDue != 0 ? byDue : id.compareTo(other.id);
  }
}
