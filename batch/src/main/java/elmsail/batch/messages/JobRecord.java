package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * The replicated state of one batch job: its items, the results recorded so far and the gateway
 * that runs it. Immutable: each change creates a new record with the next version, which is
 * proposed through the register.
 *
 * @param version 1 when the job is accepted, incremented by each change
 * @param description the properties that were set when the job was accepted
 * @param results the results in the order of their positions, which clients pass when they read;
 *     results are only ever appended
 * @param cancelled whether the client has cancelled the job
 * @param runner the RPC address of the gateway that runs the job
 * @param term the fencing token of the runner, incremented by each takeover, so that a former
 *     runner can no longer change the record
 * @param ageMs a lower bound on the time between the acceptance of the job and this change, in ms
 * @param failedAttempts the failed attempts of items without a result, at most one entry per item;
 *     each new runner continues these counts
 */
public record JobRecord(
    long version,
    JobDescription description,
    List<Result> results,
    boolean cancelled,
    String runner,
    long term,
    long ageMs,
    List<FailedAttempts> failedAttempts) {

  /** The prefix of the key of each record. The prefix is stored on disk and sent on the wire. */
  private static final String KEY_PREFIX = "lot/";

  private static final long FIRST_VERSION = 1;
  private static final long FIRST_TERM = 1;

  /** The first record of a job, which the accepting gateway runs in term 1. */
  public static JobRecord accepted(JobDescription description, String runner) {
    return new JobRecord(
        FIRST_VERSION, description, List.of(), false, runner, FIRST_TERM, 0, List.of());
  }

  /**
   * The part of an item that is stored in the record.
   *
   * @param id unique within the job
   * @param tokens counted against the limit of the tenant on the route while the item has no result
   */
  public record Item(String id, long tokens) {}

  /**
   * A recorded result; its position in {@link JobRecord#results} never changes.
   *
   * @param itemIndex index of the item in the job
   * @param succeeded false if the item was given up; such a result has no text
   * @param term the term of the runner that recorded the result
   * @param textBytes length of the text in bytes; 0 if there is no text
   */
  public record Result(int itemIndex, boolean succeeded, long term, int textBytes) {
    /** The name of the blob that holds the text of this result. */
    public String textBlobName() {
      return textBlobNameOf(itemIndex, term);
    }
  }

  /**
   * The number of times that servers have answered 500 for an item.
   *
   * @param itemIndex index of the item in the job
   * @param count the number of such responses to all runners of the job
   */
  public record FailedAttempts(int itemIndex, int count) {}

  /** The name of the blob with the text of an item, as received by the runner of this term. */
  public static String textBlobNameOf(int itemIndex, long term) {
    return "r-" + itemIndex + "-" + term;
  }

  /** The key of a job's record in the register. */
  public static String registerKey(String jobId) {
    return KEY_PREFIX + jobId;
  }

  /** Whether this is the key of a job's record. */
  public static boolean isRegisterKey(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /** The id of the job whose record has this key, see {@link #isRegisterKey}. */
  public static String jobIdOf(String registerKey) {
    return registerKey.substring(KEY_PREFIX.length());
  }

  /** The name of the route that the job was submitted on. */
  public String routeName() {
    return description.routeName();
  }

  /** The quota key that the waiting tokens of the job count under. */
  public QuotaKey quotaKey() {
    return new QuotaKey(description.routeName(), description.tenant());
  }

  /** The host of the route that the job was submitted on. */
  public String host() {
    return description.host();
  }

  /** The tenant that the job belongs to. */
  public TenantName tenant() {
    return description.tenant();
  }

  /** The version of the configuration when the job was accepted. */
  public long configVersion() {
    return description.configVersion();
  }

  /** When the results are due, in ms after the job was accepted. */
  public long completionTargetMs() {
    return description.completionTargetMs();
  }

  /** When items without a result may be given up, in ms after the acceptance; 0 means never. */
  public long itemTtlMs() {
    return description.itemTtlMs();
  }

  /** The name of the blob that holds the requests of the items. */
  public String bodyBlobName() {
    return description.bodyBlobName();
  }

  /** The items, in the order in which the client submitted them. */
  public List<Item> items() {
    return description.items();
  }

  /** Whether every item has a result. */
  public boolean isComplete() {
    return results.size() >= items().size();
  }

  /** The number of items that were given up. */
  public int failedItemCount() {
    int sum = 0;
    for (Result result : results) {
      sum += result.succeeded() ? 0 : 1;
    }
    return sum;
  }

  /** Whether the job is not cancelled and has items without a result. */
  public boolean isOpen() {
    return !cancelled && !isComplete();
  }

  /** The indexes of the items that have a result. */
  public BitSet recordedItems() {
    BitSet recorded = new BitSet(items().size());
    for (Result result : results) {
      recorded.set(result.itemIndex());
    }
    return recorded;
  }

  /** The tokens of the items without a result; 0 once the job is cancelled. */
  public long waitingTokens() {
    if (cancelled) {
      return 0;
    }
    BitSet recorded = recordedItems();
    long sum = 0;
    for (int i = 0; i < items().size(); i++) {
      sum += recorded.get(i) ? 0 : items().get(i).tokens();
    }
    return sum;
  }

  /**
   * The next version, with results of further items. The first result of an item is kept, and later
   * results of the same item are ignored.
   *
   * @param newFailedAttempts counts of items without a result, which replace lower counts
   * @param newAgeMs a lower bound on the current age of the job, in ms
   */
  public JobRecord withResults(
      List<Result> newResults, List<FailedAttempts> newFailedAttempts, long newAgeMs) {
    BitSet recorded = recordedItems();
    List<Result> allResults = new ArrayList<>(results);
    for (Result result : newResults) {
      if (result.itemIndex() >= 0
          && result.itemIndex() < items().size()
          && !recorded.get(result.itemIndex())) {
        recorded.set(result.itemIndex());
        allResults.add(result);
      }
    }
    TreeMap<Integer, Integer> counts = new TreeMap<>();
    failedAttempts.forEach(
        attempts -> counts.merge(attempts.itemIndex(), attempts.count(), Math::max));
    newFailedAttempts.forEach(
        attempts -> counts.merge(attempts.itemIndex(), attempts.count(), Math::max));
    List<FailedAttempts> remaining = new ArrayList<>();
    counts.forEach(
        (itemIndex, count) -> {
          if (!recorded.get(itemIndex)) {
            remaining.add(new FailedAttempts(itemIndex, count));
          }
        });
    return nextVersion(allResults, cancelled, runner, term, Math.max(ageMs, newAgeMs), remaining);
  }

  /** Like {@link #withResults(List, List, long)}, without new failed attempts. */
  public JobRecord withResults(List<Result> newResults, long newAgeMs) {
    return withResults(newResults, List.of(), newAgeMs);
  }

  /** The number of times that servers have answered 500 for the item, to all runners of the job. */
  public int failedAttemptsOf(int itemIndex) {
    for (FailedAttempts attempts : failedAttempts) {
      if (attempts.itemIndex() == itemIndex) {
        return attempts.count();
      }
    }
    return 0;
  }

  /** The next version, in which the client has cancelled the job. */
  public JobRecord withCancellation() {
    return nextVersion(results, true, runner, term, ageMs, failedAttempts);
  }

  /**
   * The next version, run by the given gateway in the next term.
   *
   * @param newAgeMs a lower bound on the current age of the job, in ms
   */
  public JobRecord withRunner(String newRunner, long newAgeMs) {
    return nextVersion(
        results, cancelled, newRunner, term + 1, Math.max(ageMs, newAgeMs), failedAttempts);
  }

  /** The next version with the same contents, which updates stores that missed the last change. */
  public JobRecord rewritten() {
    return nextVersion(results, cancelled, runner, term, ageMs, failedAttempts);
  }

  private JobRecord nextVersion(
      List<Result> results,
      boolean cancelled,
      String runner,
      long term,
      long ageMs,
      List<FailedAttempts> failedAttempts) {
    return new JobRecord(
        version + 1, description, results, cancelled, runner, term, ageMs, failedAttempts);
  }

  /**
   * Whether this record may follow the older record: results are only appended, a cancellation is
   * never undone and terms do not decrease (the invariant {@code DECIDED_JOB_KEEPS_ITS_RESULTS}). A
   * record with another description belongs to another job with the same id and may follow any
   * record.
   */
  public boolean isSuccessorOf(JobRecord older) {
    boolean otherJob = !description.equals(older.description);
    boolean consistent =
        (cancelled || !older.cancelled)
            && term >= older.term
            && results.size() >= older.results.size()
            && results.subList(0, older.results.size()).equals(older.results);
    return otherJob || consistent;
  }

  /** Encodes this record for {@link #decode}. */
  public byte[] encode() {
    return JobRecordCodec.encode(this);
  }

  /** Decodes the record from a register value. A null value means that the job has no record. */
  public static JobRecord decodeNullable(byte[] value) {
    return value == null ? null : decode(value);
  }

  /**
   * Decodes a record from these bytes.
   *
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if they are not a job record
   */
  public static JobRecord decode(byte[] bytes) {
    return JobRecordCodec.decode(bytes);
  }
}
