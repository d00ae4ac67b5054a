package elmsail.batch.client;

import elmsail.batch.BatchItem;
import elmsail.batch.messages.JobBodyCodec;
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
  private static final long MAX_RECORDS_BYTES = 4L << 20;
  private static final long MAX_BODIES_BYTES = 8L << 20;
  private static final long MAX_TEXTS_BYTES = 8L << 20;
  private static final int ITEM_BYTES = 120;

  private record CachedRecord(Ballot ballot, JobRecord record) {}

  private record CachedItems(List<BatchItem> items, int bytes) {}

  private final Register register;
  private final Invariants invariants;
  private final LruCache<CachedRecord> records =
      new LruCache<>(
          MAX_RECORDS_BYTES, cached -> 200 + cached.record().items().size() * ITEM_BYTES);
  private final LruCache<CachedItems> bodies = new LruCache<>(MAX_BODIES_BYTES, CachedItems::bytes);
  private final LruCache<byte[]> texts = new LruCache<>(MAX_TEXTS_BYTES, text -> text.length + 100);
  private final Map<String, CompletableFuture<byte[]>> pendingFetches = new HashMap<>();

  /** A client with empty caches that reads through this register. */
  public BatchJobClient(Register register, Invariants invariants) {
    this.register = register;
    this.invariants = invariants;
  }

  /** The decided record, at least as new as this call; null if there is surely none. */
  public CompletableFuture<JobRecord> read(String jobId, long timeoutMs) {
    CachedRecord cached = records.get(jobId);
    return register
        .read(JobRecord.registerKey(jobId), cached == null ? null : cached.ballot(), timeoutMs)
        .thenApply(committed -> cacheIfNewer(jobId, cached, committed));
  }

  /** Takes what a read or a change said is decided; null if there is none. */
  public JobRecord onCommitted(String jobId, Register.VersionedValue committed) {
    return cacheIfNewer(jobId, records.get(jobId), committed);
  }

  private JobRecord cacheIfNewer(
      String jobId, CachedRecord cached, Register.VersionedValue committed) {
    if (committed.value() == null) {
      return cached != null && sameBallot(cached.ballot(), committed.ballot())
          ? cached.record()
          : null;
    }
    JobRecord record = JobRecord.decode(committed.value());
    CachedRecord newest = records.get(jobId);
    if (newest == null || newest.record().version() <= record.version()) {
      invariants.check(
          Invariant.DECIDED_JOB_KEEPS_ITS_RESULTS,
          newest == null || record.isSuccessorOf(newest.record()),
          () -> jobId + " version " + record.version() + " after " + newest.record().version());
      records.put(jobId, new CachedRecord(committed.ballot(), record));
    }
    return record;
  }

  private static boolean sameBallot(Ballot one, Ballot other) {
    return one != null
        && other != null
        && one.round == other.round
        && one.proposerId == other.proposerId;
  }

  /** The batchItems of a job that is there; fails if nobody who has them answers. */
  public CompletableFuture<List<BatchItem>> readItems(
      String jobId, JobRecord record, long timeoutMs) {
    CachedItems cached = bodies.get(jobId);
    if (cached != null) {
      return CompletableFuture.completedFuture(cached.items());
    }
    return fetch(jobId, record.bodyBlobName(), timeoutMs)
        .thenApply(
            bytes -> {
              List<BatchItem> items = JobBodyCodec.decode(bytes);
              cacheItems(jobId, items, bytes.length);
              return items;
            });
  }

  /** Caches the items of a job; {@code bytes} is what they count for in the cache. */
  public void cacheItems(String jobId, List<BatchItem> items, int bytes) {
    bodies.put(jobId, new CachedItems(items, bytes + 100));
  }

  /** The text of a listed result; fails if nobody who has it answers. */
  public CompletableFuture<byte[]> readText(String jobId, JobRecord.Result result, long timeoutMs) {
    String blobName = jobId + "/" + result.textBlobName();
    byte[] cached = texts.get(blobName);
    if (cached != null) {
      return CompletableFuture.completedFuture(cached);
    }
    return fetch(jobId, result.textBlobName(), timeoutMs)
        .thenApply(
            bytes -> {
              boolean complete = bytes.length == result.textBytes();
              invariants.check(
                  Invariant.RESULT_TEXT_IS_WHOLE,
                  complete,
                  () -> blobName + ": " + bytes.length + " of " + result.textBytes() + " bytes");
              if (!complete) {
                throw new ElmsailException(
                    ErrorCode.MALFORMED, "a text of " + bytes.length + " bytes");
              }
              texts.put(blobName, bytes);
              return bytes;
            });
  }

  /** Caches the text of a result. */
  public void cacheText(String jobId, JobRecord.Result result, byte[] text) {
    texts.put(jobId + "/" + result.textBlobName(), text);
  }

  private CompletableFuture<byte[]> fetch(String jobId, String blobName, long timeoutMs) {
    String blobKey = jobId + "/" + blobName;
    CompletableFuture<byte[]> pending = pendingFetches.get(blobKey);
    if (pending != null) {
      return pending;
    }
    CompletableFuture<byte[]> fetched =
        register
            .readBlob(JobRecord.registerKey(jobId), blobName, timeoutMs)
            .thenApply(
                bytes -> {
                  if (bytes == null) {
                    throw new ElmsailException(ErrorCode.NO_QUORUM, "no store has " + blobName);
                  }
                  return bytes;
                });
    pendingFetches.put(blobKey, fetched);
    fetched.whenComplete((bytes, failure) -> pendingFetches.remove(blobKey));
    return fetched;
  }
}
