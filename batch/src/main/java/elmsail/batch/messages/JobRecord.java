package elmsail.batch.messages;

import elmsail.batch.TenantName;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * The replicated state of one batch job: its items, the results recorded so far and the gateway
 * that runs it. Immutable: each change gives a new record with the next version, which is proposed
 * through the register.
 *
 * @param version 1 when the job is accepted, one higher with each change
 * @param description what was fixed when the job was accepted
 * @param results in the order of their positions, which clients read by; only appended to
 * @param cancelled whether the client has cancelled the job
 * @param runner the RPC address of the gateway that runs the job
 * @param term the fencing token of the runner, one higher with each takeover: a former runner
 *     cannot change the record any more
 * @param ageMs the least age of the job at this change, in ms since its acceptance
 * @param failedAttempts of items without a result, at most one entry an item: each runner continues
 *     these counts
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

  /** On disk and on the wire: part of the key of each record. */
  private static final String KEY_PREFIX = "lot/";

  private static final long FIRST_VERSION = 1;
  private static final long FIRST_TERM = 1;

  /** The first record of a job: accepted by this gateway, which runs it in term 1. */
  public static JobRecord accepted(JobDescription description, String runner) {
    return new JobRecord(
        FIRST_VERSION, description, List.of(), false, runner, FIRST_TERM, 0, List.of());
  }

  /**
   * An item as far as the record needs it.
   *
   * @param id unique in the job
   * @param tokens counted against the limit of the tenant on the route while the item has no result
   */
  public record Item(String id, long tokens) {}

  /**
   * A recorded result; its position in {@link JobRecord#results} never changes.
   *
   * @param itemIndex index of the item in the job
   * @param succeeded false where the item was given up; then it has no text
   * @param term of the runner that recorded it
   * @param textBytes length of the text in bytes, 0 without one
   */
  public record Result(int itemIndex, boolean succeeded, long term, int textBytes) {
    /** The name of the blob that holds the text of this result. */
    public String textBlobName() {
      return textBlobNameOf(itemIndex, term);
    }
  }

  /**
   * How often servers have answered 500 for an item.
   *
   * @param itemIndex index of the item in the job
   * @param count over all runners of the job
   */
  public record FailedAttempts(int itemIndex, int count) {}

  /** The name of the blob with an item's text, as the runner of that term received it. */
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

  /** The count that the waiting tokens of the job are part of. */
  public QuotaKey quotaKey() {
    return new QuotaKey(description.routeName(), description.tenant());
  }

  /** The host of that route. */
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

  /** When the results are due, in ms after the acceptance. */
  public long completionTargetMs() {
    return description.completionTargetMs();
  }

  /** When items without a result may be given up, in ms after the acceptance; 0 is never. */
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

  /** Whether items remain to be run. */
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
   * The next version, with results of further items. The first result of an item stays: later ones
   * of the same item are ignored.
   *
   * @param newFailedAttempts counts of items without a result, which replace lower ones
   * @param newAgeMs the least age of the job now, in ms
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

  /** As {@link #withResults(List, List, long)}, without new failed attempts. */
  public JobRecord withResults(List<Result> newResults, long newAgeMs) {
    return withResults(newResults, List.of(), newAgeMs);
  }

  /** How often servers have answered 500 for the item, over all runners of the job. */
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
   * The next version, run by another gateway in the next term.
   *
   * @param newAgeMs the least age of the job now, in ms
   */
  public JobRecord withRunner(String newRunner, long newAgeMs) {
    return nextVersion(
        results, cancelled, newRunner, term + 1, Math.max(ageMs, newAgeMs), failedAttempts);
  }

  /** The next version with the same contents, for stores that missed the last change. */
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
   * Whether this may follow the older record: results are only appended, a cancellation stays,
   * terms do not fall (the invariant {@code DECIDED_JOB_KEEPS_ITS_RESULTS}). A record with another
   * description is of another job with the same id and may follow any.
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

  /** This record in its binary form, which {@link #decode} reads. */
  public byte[] encode() {
    return JobRecordCodec.encode(this);
  }

  /** The record of a register value, or null if the value is null: there is no such job. */
  public static JobRecord decodeNullable(byte[] value) {
    return value == null ? null : decode(value);
  }

  /**
   * The record of these bytes.
   *
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if they are not a job record
   */
  public static JobRecord decode(byte[] bytes) {
    return JobRecordCodec.decode(bytes);
  }
}
