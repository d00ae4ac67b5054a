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
import java.util.function.UnaryOperator;

/**
 * Reads and changes the committed records of jobs at the stores, and reads the bodies and result
 * texts of jobs, each through a bounded cache. Confined to the gateway's event loop, on which all
 * futures complete. A failed future has an {@link ElmsailException} as its exception or its cause.
 */
public final class BatchJobClient {
  private static final long MAX_RECORDS_BYTES = 4L << 20;
  private static final long MAX_BODIES_BYTES = 8L << 20;
  private static final long MAX_TEXTS_BYTES = 8L << 20;

  /** Estimated memory overhead of the cache entries, in bytes. */
  private static final int RECORD_OVERHEAD_BYTES = 200;

  private static final int RECORD_ITEM_BYTES = 120;
  private static final int BLOB_OVERHEAD_BYTES = 100;

  private record CachedRecord(Ballot ballot, JobRecord record) {
    int bytes() {
      return RECORD_OVERHEAD_BYTES + record.items().size() * RECORD_ITEM_BYTES;
    }
  }

  private record CachedItems(List<BatchItem> items, int bytes) {}

  private final Register register;
  private final Invariants invariants;
  private final LruCache<CachedRecord> records =
      new LruCache<>(MAX_RECORDS_BYTES, CachedRecord::bytes);
  private final LruCache<CachedItems> bodies = new LruCache<>(MAX_BODIES_BYTES, CachedItems::bytes);
  private final LruCache<byte[]> texts =
      new LruCache<>(MAX_TEXTS_BYTES, text -> text.length + BLOB_OVERHEAD_BYTES);
  private final Map<String, CompletableFuture<byte[]>> pendingFetches = new HashMap<>();

  /** Creates a client with empty caches that reads and writes through this register. */
  public BatchJobClient(Register register, Invariants invariants) {
    this.register = register;
    this.invariants = invariants;
  }

  /**
   * Reads the committed record of a job, at least as new as at the time of the call. The result is
   * null if the job certainly has no record.
   */
  public CompletableFuture<JobRecord> read(String jobId, long timeoutMs) {
    CachedRecord cached = records.get(jobId);
    return register
        .read(JobRecord.registerKey(jobId), cached == null ? null : cached.ballot(), timeoutMs)
        .thenApply(committed -> cacheIfNewer(jobId, cached, committed));
  }

  /**
   * Changes the record of a job.
   *
   * @param change maps the current record, or null if there is none, to the record to propose, or
   *     to null to leave the current record unchanged; may be called more than once
   * @return the record that is committed afterwards, or null if there is none; then no record that
   *     was proposed before is committed later, and only a new submission can create the job
   */
  public CompletableFuture<JobRecord> change(
      String jobId, UnaryOperator<JobRecord> change, long timeoutMs) {
    return register
        .change(
            JobRecord.registerKey(jobId),
            found -> propose(JobRecord.decodeNullable(found.value()), change),
            List.of(),
            null,
            timeoutMs)
        .thenApply(result -> onCommitted(jobId, result.current()));
  }

  private static Register.ProposedValue propose(JobRecord found, UnaryOperator<JobRecord> change) {
    JobRecord proposed = change.apply(found);
    boolean remainsAbsent = found == null && proposed == null;
    return remainsAbsent ? Register.ProposedValue.declinedAndFenced() : proposal(proposed);
  }

  /** The value to propose for a record; null leaves the current value unchanged. */
  public static Register.ProposedValue proposal(JobRecord record) {
    return record == null
        ? Register.ProposedValue.declined()
        : new Register.ProposedValue(record.encode(), List.of());
  }

  /**
   * Caches a committed record that a read or a change returned.
   *
   * @return the record, or null if there is none
   */
  public JobRecord onCommitted(String jobId, Register.VersionedValue committed) {
    return cacheIfNewer(jobId, records.get(jobId), committed);
  }

  private JobRecord cacheIfNewer(
      String jobId, CachedRecord cached, Register.VersionedValue committed) {
    if (committed.value() == null) {
      boolean unchanged = cached != null && sameBallot(cached.ballot(), committed.ballot());
      return unchanged ? cached.record() : null;
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

  private static boolean sameBallot(Ballot first, Ballot second) {
    return first != null
        && second != null
        && first.round == second.round
        && first.proposerId == second.proposerId;
  }

  /** Reads the items of a job. The future fails if no store that has the items responds. */
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

  /**
   * Caches the items of a job.
   *
   * @param bytes the size of the encoded items
   */
  public void cacheItems(String jobId, List<BatchItem> items, int bytes) {
    bodies.put(jobId, new CachedItems(items, bytes + BLOB_OVERHEAD_BYTES));
  }

  /** Reads the text of a result. The future fails if no store that has the text responds. */
  public CompletableFuture<byte[]> readText(String jobId, JobRecord.Result result, long timeoutMs) {
    String cacheKey = blobKey(jobId, result.textBlobName());
    byte[] cached = texts.get(cacheKey);
    if (cached != null) {
      return CompletableFuture.completedFuture(cached);
    }
    return fetch(jobId, result.textBlobName(), timeoutMs)
        .thenApply(
            bytes -> {
              checkLength(cacheKey, bytes.length, result.textBytes());
              texts.put(cacheKey, bytes);
              return bytes;
            });
  }

  private void checkLength(String blobKey, int found, int expected) {
    invariants.check(
        Invariant.RESULT_TEXT_IS_WHOLE,
        found == expected,
        () -> blobKey + ": " + found + " of " + expected + " bytes");
    if (found != expected) {
      throw new ElmsailException(
          ErrorCode.MALFORMED,
          "blob " + blobKey + ": expected " + expected + " bytes, found " + found);
    }
  }

  /** Caches the text of a result. */
  public void cacheText(String jobId, JobRecord.Result result, byte[] text) {
    texts.put(blobKey(jobId, result.textBlobName()), text);
  }

  /** Fetches a blob. Concurrent calls for the same blob share one request. */
  private CompletableFuture<byte[]> fetch(String jobId, String blobName, long timeoutMs) {
    String blobKey = blobKey(jobId, blobName);
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
                    throw new ElmsailException(
                        ErrorCode.NO_QUORUM, "no store has the blob " + blobKey);
                  }
                  return bytes;
                });
    pendingFetches.put(blobKey, fetched);
    fetched.whenComplete((bytes, failure) -> pendingFetches.remove(blobKey));
    return fetched;
  }

  private static String blobKey(String jobId, String blobName) {
    return jobId + "/" + blobName;
  }
}
