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
  private static final long PAGE_CALL_MS = 2_000;
  private static final long AGAIN_MS = 50;
  private static final int MOST_FAILURES = 5;
  private static final int MOST_BLOB_CALLS = 6;

  private final String set;
  private final RecordNames names;
  private final Replica replica;
  private final RecordStore records;
  private final RpcClient caller;
  private final Timers timers;
  private final List<Voter> holders;
  private final Voter replaced;
  private final BooleanSupplier wanted;
  private final Consumer<Boolean> then;

  /** Blobs' records that a holder told of, and who did. */
  private final Map<String, Voter> listed = new LinkedHashMap<>();

  private int open;
  private int failures;
  private boolean over;

  /**
   * @param replaced the one of the holders that needn't be voting, or null
   * @param wanted asked before each step: false ends it, without a word
   * @param then told once: whether all is copied and on disk
   */
  StateTransfer(
      String set,
      RecordNames names,
      Replica replica,
      RecordStore records,
      RpcClient caller,
      Timers timers,
      List<Voter> holders,
      Voter replaced,
      BooleanSupplier wanted,
      Consumer<Boolean> then) {
    this.set = set;
    this.names = names;
    this.replica = replica;
    this.records = records;
    this.caller = caller;
    this.timers = timers;
    this.holders = holders;
    this.replaced = replaced;
    this.wanted = wanted;
    this.then = then;
  }

  void start() {
    open = 2 * holders.size();
    if (open == 0) {
      end(true);
    }
    for (Voter holder : holders) {
      request(holder, names.keys(), false, CompletableFuture.completedFuture(null));
      request(
          holder, names.blobs(), holder != holders.get(0), CompletableFuture.completedFuture(null));
    }
  }

  private void request(Voter holder, String after, boolean bare, CompletableFuture<Void> written) {
    StateTransferRequest request = new StateTransferRequest();
    request.set = set;
    request.after = after;
    request.maxBytes = PAGE_BYTES;
    request.blobNamesOnly = bare;
    request.allowReplaced = holder == replaced;
    request.voterSet = replica.membership.voterSet();
    caller
        .call(holder.address, request, StateTransferResponse.class, PAGE_CALL_MS)
        .whenComplete(
            (response, failure) -> {
              if (over || !wanted.getAsBoolean()) {
                over = true;
              } else if (failure != null) {
                if (++failures > MOST_FAILURES) {
                  end(false);
                } else {
                  timers.schedule(AGAIN_MS, () -> request(holder, after, bare, written));
                }
              } else if (!response.voting || response.instanceId != holder.instanceId) {
                end(false);
              } else {
                // No more than one page of each is being written while the next is on its way.
                written.whenComplete((none, fault) -> took(holder, bare, response, fault));
              }
            });
  }

  private void took(Voter holder, boolean bare, StateTransferResponse response, Throwable fault) {
    if (over || !wanted.getAsBoolean()) {
      over = true;
      return;
    }
    if (fault != null) {
      end(false);
      return;
    }
    CompletableFuture<Void> written = CompletableFuture.completedFuture(null);
    if (bare) {
      for (Blob one : response.records) {
        listed.put(one.name, holder);
      }
    } else {
      written = keep(response.records);
    }
    if (!response.lastPage && !response.records.isEmpty()) {
      request(holder, response.records.get(response.records.size() - 1).name, bare, written);
      return;
    }
    written.whenComplete(
        (none, failure) -> {
          if (failure != null) {
            end(false);
          } else if (--open == 0) {
            fetchMissing();
          }
        });
  }

  private void fetchMissing() {
    listed.keySet().removeIf(name -> names.has(records, name));
    for (int i = 0; i < MOST_BLOB_CALLS; i++) {
      fetchNext();
    }
  }

  private void fetchNext() {
    if (over || !wanted.getAsBoolean()) {
      over = true;
    } else if (listed.isEmpty()) {
      if (open == 0) {
        end(true);
      }
    } else {
      Map.Entry<String, Voter> next = listed.entrySet().iterator().next();
      listed.remove(next.getKey());
      open++;
      fetch(next.getKey(), next.getValue());
    }
  }

  private void fetch(String name, Voter holder) {
    BlobRequest request = new BlobRequest();
    request.set = set;
    request.key = names.keyOfBlob(name);
    request.name = names.nameOfBlob(name);
    request.voterSet = replica.membership.voterSet();
    request.allowReplaced = holder == replaced;
    caller
        .call(holder.address, request, BlobResponse.class, PAGE_CALL_MS)
        .whenComplete(
            (response, failure) -> {
              if (over || !wanted.getAsBoolean()) {
                over = true;
              } else if (failure != null && ++failures <= MOST_FAILURES) {
                timers.schedule(AGAIN_MS, () -> fetch(name, holder));
              } else if (failure != null || !response.voting) {
                end(false);
              } else if (!response.found) {
                // Dropped there meanwhile.
                fetched(null);
              } else {
                replica
                    .write(List.of(new Change(name, response.bytes)))
                    .whenComplete((none, fault) -> fetched(fault));
              }
            });
  }

  private void fetched(Throwable fault) {
    open--;
    if (fault != null) {
      end(false);
    } else {
      fetchNext();
    }
  }

  private CompletableFuture<Void> keep(List<Blob> page) {
    List<Change> changes = new ArrayList<>();
    for (Blob one : page) {
      if (!names.holdsKey(one.name)) {
        if (!names.has(records, one.name)) {
          changes.add(new Change(one.name, one.bytes));
        }
        continue;
      }
      byte[] ours = records.read(one.name);
      if (ours == null) {
        KeyState theirs = KeyState.of(one.bytes);
        changes.add(new Change(one.name, KeyState.EMPTY.withCopyOf(theirs).bytes()));
        continue;
      }
      KeyState before = KeyState.of(ours);
      KeyState merged = before.withCopyOf(KeyState.of(one.bytes));
      if (merged.accepted() != before.accepted() || merged.promised() != before.promised()) {
        changes.add(new Change(one.name, merged.bytes()));
      }
    }
    return changes.isEmpty() ? CompletableFuture.completedFuture(null) : replica.write(changes);
  }

  private void end(boolean whole) {
    if (!over) {
      over = true;
      then.accept(whole);
    }
  }
}
