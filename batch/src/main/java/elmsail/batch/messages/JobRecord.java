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
 * @param ended whether its client has ended it
 * @param runner the inner address of the gateway that runs it
 * @param term up by one with each runner
 * @param ageMs how old the job was, at the least, at this change
 * @param failures of items that are not listed yet, one entry an item: each runner counts on from
 *     these
 */
public record JobRecord(
    long version,
    JobDescription description,
    List<Result> results,
    boolean ended,
    String runner,
    long term,
    long ageMs,
    List<FailureCount> failures) {

  /** The layout of a packed record. */
  private static final int FORMAT = 2;

  /** A record of a job of which no item has failed. */
  public JobRecord(
      long version,
      JobDescription description,
      List<Result> results,
      boolean ended,
      String runner,
      long term,
      long ageMs) {
    this(version, description, results, ended, runner, term, ageMs, List.of());
  }

  /** An item's id and the tokens it waits with. */
  public record Item(String id, long tokens) {}

  /**
   * A listed result.
   *
   * @param index the item's place in the job
   * @param term of the runner that listed it; its text is the blob {@code textName}
   * @param textBytes length of the text, 0 where undeliverable
   */
  public record Result(int index, boolean delivered, long term, int textBytes) {
    /** The name under which the stores keep the text of this result. */
    public String textName() {
      return nameOf(index, term);
    }
  }

  /**
   * How often servers have answered 500 for an item.
   *
   * @param index the item's place in the job
   */
  public record FailureCount(int index, int count) {}

  /** The name of an item's text, as the runner of that term had it. */
  public static String nameOf(int index, long term) {
    return "r-" + index + "-" + term;
  }

  /** The key of the record of that job in the register. */
  public static String keyOf(String jobId) {
    return "lot/" + jobId;
  }

  /** The name of the route that it was handed in on. */
  public String route() {
    return description.route();
  }

  /** The host of that route. */
  public String host() {
    return description.host();
  }

  /** The configuration's version at the acceptance. */
  public long edition() {
    return description.edition();
  }

  /** In so many ms after the acceptance results are due. */
  public long runDueMs() {
    return description.runDueMs();
  }

  /** So many ms after the acceptance items may be given up. */
  public long shelfMs() {
    return description.shelfMs();
  }

  /** The name of the blob that holds its items' requests. */
  public String body() {
    return description.body();
  }

  /** Its items, in the order of the client's. */
  public List<Item> items() {
    return description.items();
  }

  /** Whether every item has a result. */
  public boolean complete() {
    return results.size() >= items().size();
  }

  /** How many items were given up. */
  public int undeliverable() {
    int sum = 0;
    for (Result one : results) {
      sum += one.delivered() ? 0 : 1;
    }
    return sum;
  }

  /** Whether items of it are to be run. */
  public boolean open() {
    return !ended && !complete();
  }

  /** The indexes of the items that have a result. */
  public BitSet listed() {
    BitSet listed = new BitSet(items().size());
    for (Result one : results) {
      listed.set(one.index());
    }
    return listed;
  }

  /** The tokens of items that wait. */
  public long waiting() {
    if (ended) {
      return 0;
    }
    BitSet listed = listed();
    long sum = 0;
    for (int i = 0; i < items().size(); i++) {
      sum += listed.get(i) ? 0 : items().get(i).tokens();
    }
    return sum;
  }

  /**
   * Lists those of the results whose items are not listed yet: the first listed stays.
   *
   * @param failed counts of items that are not listed, which replace lower ones
   */
  public JobRecord listing(List<Result> more, List<FailureCount> failed, long age) {
    BitSet listed = listed();
    List<Result> all = new ArrayList<>(results);
    for (Result one : more) {
      if (one.index() >= 0 && one.index() < items().size() && !listed.get(one.index())) {
        listed.set(one.index());
        all.add(one);
      }
    }
    TreeMap<Integer, Integer> counts = new TreeMap<>();
    failures.forEach(one -> counts.merge(one.index(), one.count(), Math::max));
    failed.forEach(one -> counts.merge(one.index(), one.count(), Math::max));
    List<FailureCount> left = new ArrayList<>();
    counts.forEach(
        (index, count) -> {
          if (!listed.get(index)) {
            left.add(new FailureCount(index, count));
          }
        });
    return changed(all, ended, runner, term, Math.max(ageMs, age), left);
  }

  /** Likewise where no item has failed. */
  public JobRecord listing(List<Result> more, long age) {
    return listing(more, List.of(), age);
  }

  /** How often servers have answered 500 for the item, by all its runners' counts. */
  public int failuresOf(int index) {
    for (FailureCount one : failures) {
      if (one.index() == index) {
        return one.count();
      }
    }
    return 0;
  }

  /** The next version, in which the job was ended by its client. */
  public JobRecord endedNow() {
    return changed(results, true, runner, term, ageMs, failures);
  }

  /** The next version, run by that gateway under the next term. */
  public JobRecord runBy(String gateway, long age) {
    return changed(results, ended, gateway, term + 1, Math.max(ageMs, age), failures);
  }

  /** The same, written once more so that stores that missed a change get it. */
  public JobRecord again() {
    return changed(results, ended, runner, term, ageMs, failures);
  }

  private JobRecord changed(
      List<Result> results,
      boolean ended,
      String runner,
      long term,
      long ageMs,
      List<FailureCount> failures) {
    return new JobRecord(version + 1, description, results, ended, runner, term, ageMs, failures);
  }

  /**
   * Whether this may be a later record of the same job, by the invariant
   * DECIDED_JOB_KEEPS_ITS_RESULTS; or is one of another job, of a client that uses an id again.
   */
  public boolean keeps(JobRecord older) {
    boolean another = !description.equals(older.description);
    boolean grown =
        (ended || !older.ended)
            && term >= older.term
            && results.size() >= older.results.size()
            && results.subList(0, older.results.size()).equals(older.results);
    return another || grown;
  }

  /** The bytes that {@link #unpacked} reads; the first number is the version of this format. */
  public byte[] packed() {
    ByteWriter to =
        new ByteWriter()
            .number(FORMAT)
            .number(version)
            .text(route())
            .text(host())
            .number(edition())
            .number(runDueMs())
            .number(shelfMs())
            .text(body())
            .flag(ended)
            .text(runner)
            .number(term)
            .number(ageMs);
    to.number(items().size());
    for (Item item : items()) {
      to.text(item.id()).number(item.tokens());
    }
    to.number(results.size());
    for (Result one : results) {
      to.number(one.index()).flag(one.delivered()).number(one.term()).number(one.textBytes());
    }
    to.number(failures.size());
    for (FailureCount one : failures) {
      to.number(one.index()).number(one.count());
    }
    return to.packed();
  }

  /** The record of a key's value; null where the key has none. */
  public static JobRecord ofValue(byte[] value) {
    return value == null ? null : unpacked(value);
  }

  /** Fails with GARBLED. */
  public static JobRecord unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    long format = from.number();
    if (format < 1 || format > FORMAT) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a record of format " + format);
    }
    long version = from.number();
    String route = from.text();
    String host = from.text();
    long edition = from.number();
    long runDueMs = from.number();
    long shelfMs = from.number();
    String body = from.text();
    boolean ended = from.flag();
    String runner = from.text();
    long term = from.number();
    long ageMs = from.number();
    int count = from.count();
    List<Item> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      items.add(new Item(from.text(), from.number()));
    }
    count = from.count();
    List<Result> results = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      results.add(new Result((int) from.number(), from.flag(), from.number(), (int) from.number()));
    }
    return new JobRecord(
        version,
        new JobDescription(route, host, edition, runDueMs, shelfMs, body, List.copyOf(items)),
        List.copyOf(results),
        ended,
        runner,
        term,
        ageMs,
        format == 1 ? List.of() : failures(from));
  }

  /** The first format had none. */
  private static List<FailureCount> failures(ByteReader from) {
    int count = from.count();
    List<FailureCount> failures = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      failures.add(new FailureCount((int) from.number(), (int) from.number()));
    }
    return List.copyOf(failures);
  }
}
