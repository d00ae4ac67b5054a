package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.StateTransferRequest;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.rpc.messages.Voter;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Copies all records of a set from several voters concurrently. Each source is read by two streams
 * of pages: one of keys, one of blobs. A stream requests its next page while the previous page is
 * being written. The first source sends its blobs with their bytes; the other sources list only the
 * names of theirs. The blobs that the first source lacked are fetched individually at the end.
 *
 * <p>Every request carries the newest voter set known here, whether it is on disk yet or not: a
 * source that doesn't know that it was replaced learns this from the request, and refuses it. Runs
 * on the replica's event loop.
 */
final class StateTransfer {
  private static final int PAGE_BYTES = 1 << 20;
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final long RETRY_DELAY_MS = 50;

  /** The number of failed calls that the transfer tolerates. */
  private static final int MAX_FAILURES = 5;

  private static final int MAX_BLOB_CALLS_IN_FLIGHT = 6;

  private final JoinContext context;
  private final RecordNames names;
  private final RecordStore records;
  private final Replica replica;
  private final List<Voter> sources;
  private final Voter replacedSource;
  private final BooleanSupplier isCurrent;
  private final Consumer<Boolean> listener;

  /** The names of the blob records that sources listed, each with the last source that did. */
  private final Map<String, Voter> listedBlobs = new LinkedHashMap<>();

  /** The number of streams that have not ended; after that, of blobs that are being fetched. */
  private int pending;

  private int failures;
  private boolean ended;

  /**
   * Creates a transfer without starting it.
   *
   * @param replacedSource the source that need not be voting, or null
   * @param isCurrent once false, the transfer ends and doesn't notify the listener
   * @param listener called once, with whether all records are copied and on disk
   */
  StateTransfer(
      JoinContext context,
      List<Voter> sources,
      Voter replacedSource,
      BooleanSupplier isCurrent,
      Consumer<Boolean> listener) {
    this.context = context;
    names = context.names();
    records = context.records();
    replica = context.replica();
    this.sources = sources;
    this.replacedSource = replacedSource;
    this.isCurrent = isCurrent;
    this.listener = listener;
  }

  void start() {
    pending = 2 * sources.size();
    if (pending == 0) {
      end(true);
    }
    CompletableFuture<Void> nothingWritten = CompletableFuture.completedFuture(null);
    for (Voter source : sources) {
      requestPage(source, names.keyPrefix(), false, nothingWritten);
      requestPage(source, names.blobPrefix(), source != sources.get(0), nothingWritten);
    }
  }

  /** Whether the transfer has ended; it ends as soon as it is no longer current. */
  private boolean hasEnded() {
    if (!isCurrent.getAsBoolean()) {
      ended = true;
    }
    return ended;
  }

  private void end(boolean complete) {
    if (!ended) {
      ended = true;
      listener.accept(complete);
    }
  }

  /**
   * Requests a page of a stream.
   *
   * @param after the record after which the page begins
   * @param written the write of the previous page
   */
  private void requestPage(
      Voter source, String after, boolean blobNamesOnly, CompletableFuture<Void> written) {
    StateTransferRequest request = new StateTransferRequest();
    request.set = context.names().set();
    request.after = after;
    request.maxBytes = PAGE_BYTES;
    request.blobNamesOnly = blobNamesOnly;
    request.allowReplaced = source == replacedSource;
    request.voterSet = context.membership().voterSet();
    context
        .rpcClient()
        .call(source.address, request, StateTransferResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (hasEnded()) {
                return;
              }
              if (failure != null) {
                retryPage(source, after, blobNamesOnly, written);
              } else if (!response.voting || response.instanceId != source.instanceId) {
                end(false);
              } else {
                // At most one page of a stream is being written while the next is in flight.
                written.whenComplete(
                    (none, writeFailure) -> onPage(source, blobNamesOnly, response, writeFailure));
              }
            });
  }

  private void retryPage(
      Voter source, String after, boolean blobNamesOnly, CompletableFuture<Void> written) {
    if (++failures > MAX_FAILURES) {
      end(false);
    } else {
      context
          .timers()
          .schedule(RETRY_DELAY_MS, () -> requestPage(source, after, blobNamesOnly, written));
    }
  }

  /**
   * Stores a page.
   *
   * @param writeFailure the failure of the write of the previous page, or null
   */
  private void onPage(
      Voter source, boolean blobNamesOnly, StateTransferResponse page, Throwable writeFailure) {
    if (hasEnded()) {
      return;
    }
    if (writeFailure != null) {
      end(false);
      return;
    }
    CompletableFuture<Void> written = CompletableFuture.completedFuture(null);
    if (blobNamesOnly) {
      for (Blob record : page.records) {
        listedBlobs.put(record.name, source);
      }
    } else {
      written = storePage(page.records);
    }
    if (!page.lastPage && !page.records.isEmpty()) {
      String last = page.records.get(page.records.size() - 1).name;
      requestPage(source, last, blobNamesOnly, written);
      return;
    }
    written.whenComplete((none, failure) -> onStreamEnded(failure));
  }

  private void onStreamEnded(Throwable writeFailure) {
    if (writeFailure != null) {
      end(false);
    } else if (--pending == 0) {
      fetchMissingBlobs();
    }
  }

  private CompletableFuture<Void> storePage(List<Blob> page) {
    List<Change> changes = new ArrayList<>();
    for (Blob record : page) {
      if (names.isKeyRecord(record.name)) {
        addMergedState(record, changes);
      } else if (!names.isStored(records, record.name)) {
        changes.add(new Change(record.name, record.bytes));
      }
    }
    return changes.isEmpty() ? CompletableFuture.completedFuture(null) : replica.write(changes);
  }

  private void addMergedState(Blob record, List<Change> changes) {
    byte[] ownBytes = records.read(record.name);
    AcceptorState own = AcceptorState.fromBytes(ownBytes);
    AcceptorState merged = own.mergeTransferred(AcceptorState.fromBytes(record.bytes));
    if (ownBytes == null
        || merged.accepted() != own.accepted()
        || merged.promised() != own.promised()) {
      changes.add(new Change(record.name, merged.toBytes()));
    }
  }

  private void fetchMissingBlobs() {
    listedBlobs.keySet().removeIf(name -> names.isStored(records, name));
    for (int i = 0; i < MAX_BLOB_CALLS_IN_FLIGHT; i++) {
      fetchNextBlob();
    }
  }

  private void fetchNextBlob() {
    if (hasEnded()) {
      return;
    }
    if (!listedBlobs.isEmpty()) {
      Map.Entry<String, Voter> next = listedBlobs.entrySet().iterator().next();
      listedBlobs.remove(next.getKey());
      pending++;
      fetchBlob(next.getKey(), next.getValue());
    } else if (pending == 0) {
      end(true);
    }
  }

  private void fetchBlob(String name, Voter source) {
    BlobRequest request = new BlobRequest();
    request.set = context.names().set();
    request.key = names.keyOfBlob(name);
    request.name = names.nameOfBlob(name);
    request.voterSet = context.membership().voterSet();
    request.allowReplaced = source == replacedSource;
    context
        .rpcClient()
        .call(source.address, request, BlobResponse.class, CALL_TIMEOUT_MS)
        .whenComplete((response, failure) -> onBlob(name, source, response, failure));
  }

  private void onBlob(String name, Voter source, BlobResponse response, Throwable failure) {
    if (hasEnded()) {
      return;
    }
    if (failure != null && ++failures <= MAX_FAILURES) {
      context.timers().schedule(RETRY_DELAY_MS, () -> fetchBlob(name, source));
    } else if (failure != null || !response.voting) {
      end(false);
    } else if (!response.found) {
      // The source dropped the blob's key after it listed the blob.
      onBlobStored(null);
    } else {
      replica
          .write(List.of(new Change(name, response.bytes)))
          .whenComplete((none, writeFailure) -> onBlobStored(writeFailure));
    }
  }

  private void onBlobStored(Throwable writeFailure) {
    pending--;
    if (writeFailure != null) {
      end(false);
    } else {
      fetchNextBlob();
    }
  }
}
