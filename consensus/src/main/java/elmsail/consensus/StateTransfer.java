package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.BlobRequest;
import elmsail.rpc.messages.BlobResponse;
import elmsail.rpc.messages.StateTransferRequest;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Timers;
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
 * All records of a set, from some holders at once: one page of keys and one of blobs from each in
 * flight, and the next is asked for while the last is being written. Blobs' bytes come from the
 * first; of the others the names do, and then what the first had not. All is asked for under the
 * newest voter set that was heard of, be it on disk here yet or not: one that has been replaced
 * unawares hears of it so, and refuses.
 */
final class StateTransfer {
  private static final int PAGE_BYTES = 1 << 20;
  private static final long CALL_TIMEOUT_MS = 2_000;
  private static final long RETRY_DELAY_MS = 50;
  private static final int MAX_FAILURES = 5;
  private static final int MAX_BLOB_CALLS_IN_FLIGHT = 6;

  private final String set;
  private final RecordNames names;
  private final Replica replica;
  private final RecordStore records;
  private final RpcClient rpcClient;
  private final Timers timers;
  private final List<Voter> sources;
  private final Voter replacedSource;
  private final BooleanSupplier isCurrent;
  private final Consumer<Boolean> listener;

  /** Blobs' records that a holder told of, and who did. */
  private final Map<String, Voter> listedBlobs = new LinkedHashMap<>();

  private int pending;
  private int failures;
  private boolean ended;

  /**
   * @param replacedSource the one of the holders that needn't be voting, or null
   * @param isCurrent asked before each step: false ends it, without a word
   * @param listener told once: whether all is copied and on disk
   */
  StateTransfer(
      String set,
      RecordNames names,
      Replica replica,
      RecordStore records,
      RpcClient rpcClient,
      Timers timers,
      List<Voter> sources,
      Voter replacedSource,
      BooleanSupplier isCurrent,
      Consumer<Boolean> listener) {
    this.set = set;
    this.names = names;
    this.replica = replica;
    this.records = records;
    this.rpcClient = rpcClient;
    this.timers = timers;
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
    for (Voter source : sources) {
      requestPage(source, names.keys(), false, CompletableFuture.completedFuture(null));
      requestPage(
          source, names.blobs(), source != sources.get(0), CompletableFuture.completedFuture(null));
    }
  }

  private void requestPage(
      Voter source, String after, boolean blobNamesOnly, CompletableFuture<Void> written) {
    StateTransferRequest request = new StateTransferRequest();
    request.set = set;
    request.after = after;
    request.maxBytes = PAGE_BYTES;
    request.blobNamesOnly = blobNamesOnly;
    request.allowReplaced = source == replacedSource;
    request.voterSet = replica.membership.voterSet();
    rpcClient
        .call(source.address, request, StateTransferResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (ended || !isCurrent.getAsBoolean()) {
                ended = true;
              } else if (failure != null) {
                if (++failures > MAX_FAILURES) {
                  end(false);
                } else {
                  timers.schedule(
                      RETRY_DELAY_MS, () -> requestPage(source, after, blobNamesOnly, written));
                }
              } else if (!response.voting || response.instanceId != source.instanceId) {
                end(false);
              } else {
                // No more than one page of each is being written while the next is on its way.
                written.whenComplete(
                    (none, writeFailure) -> onPage(source, blobNamesOnly, response, writeFailure));
              }
            });
  }

  private void onPage(
      Voter source, boolean blobNamesOnly, StateTransferResponse response, Throwable writeFailure) {
    if (ended || !isCurrent.getAsBoolean()) {
      ended = true;
      return;
    }
    if (writeFailure != null) {
      end(false);
      return;
    }
    CompletableFuture<Void> written = CompletableFuture.completedFuture(null);
    if (blobNamesOnly) {
      for (Blob record : response.records) {
        listedBlobs.put(record.name, source);
      }
    } else {
      written = storePage(response.records);
    }
    if (!response.lastPage && !response.records.isEmpty()) {
      requestPage(
          source, response.records.get(response.records.size() - 1).name, blobNamesOnly, written);
      return;
    }
    written.whenComplete(
        (none, failure) -> {
          if (failure != null) {
            end(false);
          } else if (--pending == 0) {
            fetchMissingBlobs();
          }
        });
  }

  private void fetchMissingBlobs() {
    listedBlobs.keySet().removeIf(name -> names.isStored(records, name));
    for (int i = 0; i < MAX_BLOB_CALLS_IN_FLIGHT; i++) {
      fetchNextBlob();
    }
  }

  private void fetchNextBlob() {
    if (ended || !isCurrent.getAsBoolean()) {
      ended = true;
    } else if (listedBlobs.isEmpty()) {
      if (pending == 0) {
        end(true);
      }
    } else {
      Map.Entry<String, Voter> next = listedBlobs.entrySet().iterator().next();
      listedBlobs.remove(next.getKey());
      pending++;
      fetchBlob(next.getKey(), next.getValue());
    }
  }

  private void fetchBlob(String name, Voter source) {
    BlobRequest request = new BlobRequest();
    request.set = set;
    request.key = names.keyOfBlob(name);
    request.name = names.nameOfBlob(name);
    request.voterSet = replica.membership.voterSet();
    request.allowReplaced = source == replacedSource;
    rpcClient
        .call(source.address, request, BlobResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (ended || !isCurrent.getAsBoolean()) {
                ended = true;
              } else if (failure != null && ++failures <= MAX_FAILURES) {
                timers.schedule(RETRY_DELAY_MS, () -> fetchBlob(name, source));
              } else if (failure != null || !response.voting) {
                end(false);
              } else if (!response.found) {
                // Dropped there meanwhile.
                onBlobStored(null);
              } else {
                replica
                    .write(List.of(new Change(name, response.bytes)))
                    .whenComplete((none, writeFailure) -> onBlobStored(writeFailure));
              }
            });
  }

  private void onBlobStored(Throwable writeFailure) {
    pending--;
    if (writeFailure != null) {
      end(false);
    } else {
      fetchNextBlob();
    }
  }

  private CompletableFuture<Void> storePage(List<Blob> page) {
    List<Change> changes = new ArrayList<>();
    for (Blob record : page) {
      if (!names.isKeyRecord(record.name)) {
        if (!names.isStored(records, record.name)) {
          changes.add(new Change(record.name, record.bytes));
        }
        continue;
      }
      byte[] ownBytes = records.read(record.name);
      if (ownBytes == null) {
        AcceptorState received = AcceptorState.fromBytes(record.bytes);
        changes.add(
            new Change(record.name, AcceptorState.EMPTY.mergeTransferred(received).toBytes()));
        continue;
      }
      AcceptorState own = AcceptorState.fromBytes(ownBytes);
      AcceptorState merged = own.mergeTransferred(AcceptorState.fromBytes(record.bytes));
      if (merged.accepted() != own.accepted() || merged.promised() != own.promised()) {
        changes.add(new Change(record.name, merged.toBytes()));
      }
    }
    return changes.isEmpty() ? CompletableFuture.completedFuture(null) : replica.write(changes);
  }

  private void end(boolean complete) {
    if (!ended) {
      ended = true;
      listener.accept(complete);
    }
  }
}
