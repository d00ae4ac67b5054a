package elmsail.batch.client;

import elmsail.batch.BatchItem;
import elmsail.batch.messages.JobBody;
import elmsail.batch.messages.JobRecord;
import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Invariant;
import elmsail.runtime.Invariants;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Jobs' decided records, bodies and texts, as read at the stores, with bounded caches of each. */
public final class BatchJobClient {
  private static final long RECORDS_BYTES = 4L << 20;
  private static final long BODIES_BYTES = 8L << 20;
  private static final long TEXTS_BYTES = 8L << 20;
  private static final int ITEM_BYTES = 120;

  private record Seen(Ballot ballot, JobRecord record) {}

  private record Body(List<BatchItem> batchItems, int bytes) {}

  private final Register register;
  private final Invariants invariants;
  private final LruCache<Seen> records =
      new LruCache<>(RECORDS_BYTES, s -> 200 + s.record().items().size() * ITEM_BYTES);
  private final LruCache<Body> bodies = new LruCache<>(BODIES_BYTES, Body::bytes);
  private final LruCache<byte[]> texts = new LruCache<>(TEXTS_BYTES, t -> t.length + 100);
  private final Map<String, CompletableFuture<byte[]>> fetching = new HashMap<>();

  /** A client with empty caches that reads through this register. */
  public BatchJobClient(Register register, Invariants invariants) {
    this.register = register;
    this.invariants = invariants;
  }

  /** The decided record, at least as new as this call; null if there is surely none. */
  public CompletableFuture<JobRecord> read(String job, long timeoutMs) {
    Seen seen = records.get(job);
    return register
        .read(JobRecord.keyOf(job), seen == null ? null : seen.ballot(), timeoutMs)
        .thenApply(now -> taken(job, seen, now));
  }

  /** Takes what a read or a change said is decided; null if there is none. */
  public JobRecord decided(String job, Register.VersionedValue now) {
    return taken(job, records.get(job), now);
  }

  private JobRecord taken(String job, Seen seen, Register.VersionedValue now) {
    if (now.value() == null) {
      return seen != null && same(seen.ballot(), now.ballot()) ? seen.record() : null;
    }
    JobRecord record = JobRecord.unpacked(now.value());
    Seen newest = records.get(job);
    if (newest == null || newest.record().version() <= record.version()) {
      invariants.check(
          Invariant.DECIDED_JOB_KEEPS_ITS_RESULTS,
          newest == null || record.keeps(newest.record()),
          () -> job + " version " + record.version() + " after " + newest.record().version());
      records.put(job, new Seen(now.ballot(), record));
    }
    return record;
  }

  private static boolean same(Ballot one, Ballot other) {
    return one != null && other != null && one.round == other.round && one.proposerId == other.proposerId;
  }

  /** The batchItems of a job that is there; fails if nobody who has them answers. */
  public CompletableFuture<List<BatchItem>> batchItems(
      String job, JobRecord record, long timeoutMs) {
    Body there = bodies.get(job);
    if (there != null) {
      return CompletableFuture.completedFuture(there.batchItems());
    }
    return fetch(job, record.body(), timeoutMs)
        .thenApply(
            bytes -> {
              List<BatchItem> batchItems = JobBody.unpacked(bytes);
              cache(job, batchItems, bytes.length);
              return batchItems;
            });
  }

  /** Caches the items of a job; {@code bytes} is what they count for in the cache. */
  public void cache(String job, List<BatchItem> batchItems, int bytes) {
    bodies.put(job, new Body(batchItems, bytes + 100));
  }

  /** The text of a listed result; fails if nobody who has it answers. */
  public CompletableFuture<byte[]> text(String job, JobRecord.Result result, long timeoutMs) {
    String name = job + "/" + result.textName();
    byte[] there = texts.get(name);
    if (there != null) {
      return CompletableFuture.completedFuture(there);
    }
    return fetch(job, result.textName(), timeoutMs)
        .thenApply(
            bytes -> {
              boolean whole = bytes.length == result.textBytes();
              invariants.check(
                  Invariant.RESULT_TEXT_IS_WHOLE,
                  whole,
                  () -> name + ": " + bytes.length + " of " + result.textBytes() + " bytes");
              if (!whole) {
                throw new ElmsailException(
                    ErrorCode.MALFORMED, "a text of " + bytes.length + " bytes");
              }
              texts.put(name, bytes);
              return bytes;
            });
  }

  /** Caches the text of a result. */
  public void cacheText(String job, JobRecord.Result result, byte[] text) {
    texts.put(job + "/" + result.textName(), text);
  }

  private CompletableFuture<byte[]> fetch(String job, String name, long timeoutMs) {
    String whole = job + "/" + name;
    CompletableFuture<byte[]> under = fetching.get(whole);
    if (under != null) {
      return under;
    }
    CompletableFuture<byte[]> fetched =
        register
            .readBlob(JobRecord.keyOf(job), name, timeoutMs)
            .thenApply(
                bytes -> {
                  if (bytes == null) {
                    throw new ElmsailException(ErrorCode.NO_QUORUM, "no store has " + name);
                  }
                  return bytes;
                });
    fetching.put(whole, fetched);
    fetched.whenComplete((bytes, failed) -> fetching.remove(whole));
    return fetched;
  }
}
