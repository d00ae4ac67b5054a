package elmsail.batch.messages;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.TreeMap;

/**
 * What is decided of one job: its items, which of them are listed in which order, who runs it. A
 * value: each change gives a new one with the next version.
 *
 * @param version 1 at the acceptance, up by one with each change
 * @param description what stays as it was accepted
 * @param results in the order of their positions, for ever
 * @param cancelled whether its client has ended it
 * @param runner the inner address of the gateway that runs it
 * @param term up by one with each runner
 * @param ageMs how old the job was, at the least, at this change
 * @param failedAttempts of items that are not listed yet, one entry an item: each runner counts on
 *     from these
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

  /** The layout of a packed record. */
  private static final int FORMAT = 2;

  /** A record of a job of which no item has failed. */
  public JobRecord(
      long version,
      JobDescription description,
      List<Result> results,
      boolean cancelled,
      String runner,
      long term,
      long ageMs) {
    this(version, description, results, cancelled, runner, term, ageMs, List.of());
  }

  /** An item's id and the tokens it waits with. */
  public record Item(String id, long tokens) {}

  /**
   * A listed result.
   *
   * @param itemIndex the item's place in the job
   * @param term of the runner that listed it; its text is the blob {@code textName}
   * @param textBytes length of the text, 0 where undeliverable
   */
  public record Result(int itemIndex, boolean succeeded, long term, int textBytes) {
    /** The name under which the stores keep the text of this result. */
    public String textBlobName() {
      return textBlobNameOf(itemIndex, term);
    }
  }

  /**
   * How often servers have answered 500 for an item.
   *
   * @param itemIndex the item's place in the job
   */
  public record FailedAttempts(int itemIndex, int count) {}

  /** The name of an item's text, as the runner of that term had it. */
  public static String textBlobNameOf(int itemIndex, long term) {
    return "r-" + itemIndex + "-" + term;
  }

  /** The key of the record of that job in the register. */
  public static String registerKey(String jobId) {
    return "lot/" + jobId;
  }

  /** The name of the route that it was handed in on. */
  public String routeName() {
    return description.routeName();
  }

  /** The host of that route. */
  public String host() {
    return description.host();
  }

  /** The configuration's version at the acceptance. */
  public long configVersion() {
    return description.configVersion();
  }

  /** In so many ms after the acceptance results are due. */
  public long completionTargetMs() {
    return description.completionTargetMs();
  }

  /** So many ms after the acceptance items may be given up. */
  public long itemTtlMs() {
    return description.itemTtlMs();
  }

  /** The name of the blob that holds its items' requests. */
  public String bodyBlobName() {
    return description.bodyBlobName();
  }

  /** Its items, in the order of the client's. */
  public List<Item> items() {
    return description.items();
  }

  /** Whether every item has a result. */
  public boolean isComplete() {
    return results.size() >= items().size();
  }

  /** How many items were given up. */
  public int failedItemCount() {
    int sum = 0;
    for (Result result : results) {
      sum += result.succeeded() ? 0 : 1;
    }
    return sum;
  }

  /** Whether items of it are to be run. */
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

  /** The tokens of items that wait. */
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
   * Lists those of the results whose items are not listed yet: the first listed stays.
   *
   * @param newFailedAttempts counts of items that are not listed, which replace lower ones
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

  /** Likewise where no item has failed. */
  public JobRecord withResults(List<Result> newResults, long newAgeMs) {
    return withResults(newResults, List.of(), newAgeMs);
  }

  /** How often servers have answered 500 for the item, by all its runners' counts. */
  public int failedAttemptsOf(int itemIndex) {
    for (FailedAttempts attempts : failedAttempts) {
      if (attempts.itemIndex() == itemIndex) {
        return attempts.count();
      }
    }
    return 0;
  }

  /** The next version, in which the job was ended by its client. */
  public JobRecord withCancellation() {
    return nextVersion(results, true, runner, term, ageMs, failedAttempts);
  }

  /** The next version, run by that gateway under the next term. */
  public JobRecord withRunner(String newRunner, long newAgeMs) {
    return nextVersion(
        results, cancelled, newRunner, term + 1, Math.max(ageMs, newAgeMs), failedAttempts);
  }

  /** The same, written once more so that stores that missed a change get it. */
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
   * Whether this may be a later record of the same job, by the invariant
   * DECIDED_JOB_KEEPS_ITS_RESULTS; or is one of another job, of a client that uses an id again.
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

  /** The bytes that {@link #decode} reads; the first number is the version of this format. */
  public byte[] encode() {
    ByteWriter writer =
        new ByteWriter()
            .writeVarint(FORMAT)
            .writeVarint(version)
            .writeString(routeName())
            .writeString(host())
            .writeVarint(configVersion())
            .writeVarint(completionTargetMs())
            .writeVarint(itemTtlMs())
            .writeString(bodyBlobName())
            .writeBoolean(cancelled)
            .writeString(runner)
            .writeVarint(term)
            .writeVarint(ageMs);
    writer.writeVarint(items().size());
    for (Item item : items()) {
      writer.writeString(item.id()).writeVarint(item.tokens());
    }
    writer.writeVarint(results.size());
    for (Result result : results) {
      writer
          .writeVarint(result.itemIndex())
          .writeBoolean(result.succeeded())
          .writeVarint(result.term())
          .writeVarint(result.textBytes());
    }
    writer.writeVarint(failedAttempts.size());
    for (FailedAttempts attempts : failedAttempts) {
      writer.writeVarint(attempts.itemIndex()).writeVarint(attempts.count());
    }
    return writer.toByteArray();
  }

  /** The record of a key's value; null where the key has none. */
  public static JobRecord decodeNullable(byte[] value) {
    return value == null ? null : decode(value);
  }

  /** Fails with GARBLED. */
  public static JobRecord decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    long format = reader.readVarint();
    if (format < 1 || format > FORMAT) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a record of format " + format);
    }
    long version = reader.readVarint();
    String routeName = reader.readString();
    String host = reader.readString();
    long configVersion = reader.readVarint();
    long completionTargetMs = reader.readVarint();
    long itemTtlMs = reader.readVarint();
    String bodyBlobName = reader.readString();
    boolean cancelled = reader.readBoolean();
    String runner = reader.readString();
    long term = reader.readVarint();
    long ageMs = reader.readVarint();
    int count = reader.readCount();
    List<Item> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      items.add(new Item(reader.readString(), reader.readVarint()));
    }
    count = reader.readCount();
    List<Result> results = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      results.add(
          new Result(
              (int) reader.readVarint(),
              reader.readBoolean(),
              reader.readVarint(),
              (int) reader.readVarint()));
    }
    return new JobRecord(
        version,
        new JobDescription(
            routeName,
            host,
            configVersion,
            completionTargetMs,
            itemTtlMs,
            bodyBlobName,
            List.copyOf(items)),
        List.copyOf(results),
        cancelled,
        runner,
        term,
        ageMs,
        format == 1 ? List.of() : failedAttempts(reader));
  }

  /** The first format had none. */
  private static List<FailedAttempts> failedAttempts(ByteReader reader) {
    int count = reader.readCount();
    List<FailedAttempts> failedAttempts = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      failedAttempts.add(new FailedAttempts((int) reader.readVarint(), (int) reader.readVarint()));
    }
    return List.copyOf(failedAttempts);
  }
}
