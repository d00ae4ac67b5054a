package elmsail.register;

import elmsail.disk.Records;
import elmsail.disk.Records.Change;
import elmsail.inner.Caller;
import elmsail.inner.words.Blob;
import elmsail.inner.words.BlobAsk;
import elmsail.inner.words.BlobTold;
import elmsail.inner.words.CopyAsk;
import elmsail.inner.words.CopyTold;
import elmsail.inner.words.Seat;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * All records of a set, from some holders at once: one page of keys and one of blobs from each in flight, and
 * the next is asked for while the last is being written. Blobs' bytes come from the first; of the others the
 * names do, and then what the first had not. All is asked for under the newest seating that was heard of, be
 * it on disk here yet or not: one that has been replaced unawares hears of it so, and refuses.
 */
final class Copying {
  private static final int PAGE_BYTES = 1 << 20;
  private static final long PAGE_CALL_MS = 2_000;
  private static final long AGAIN_MS = 50;
  private static final int MOST_FAILURES = 5;
  private static final int MOST_BLOB_CALLS = 6;

  private final String set;
  private final KeptNames names;
  private final SetKeeper keeper;
  private final Records records;
  private final Caller caller;
  private final Timers timers;
  private final List<Seat> holders;
  private final Seat replaced;
  private final BooleanSupplier wanted;
  private final Consumer<Boolean> then;
  /** Blobs' records that a holder told of, and who did. */
  private final Map<String, Seat> listed = new LinkedHashMap<>();
  private int open;
  private int failures;
  private boolean over;

  /**
   * @param replaced the one of the holders that needn't be seated, or null
   * @param wanted asked before each step: false ends it, without a word
   * @param then told once: whether all is copied and on disk
   */
  Copying(String set, KeptNames names, SetKeeper keeper, Records records, Caller caller, Timers timers,
      List<Seat> holders, Seat replaced, BooleanSupplier wanted, Consumer<Boolean> then) {
    this.set = set;
    this.names = names;
    this.keeper = keeper;
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
    for (Seat holder : holders) {
      ask(holder, names.keys(), false, CompletableFuture.completedFuture(null));
      ask(holder, names.blobs(), holder != holders.get(0), CompletableFuture.completedFuture(null));
    }
  }

  private void ask(Seat holder, String after, boolean bare, CompletableFuture<Void> written) {
    CopyAsk ask = new CopyAsk();
    ask.set = set;
    ask.after = after;
    ask.mostBytes = PAGE_BYTES;
    ask.bare = bare;
    ask.ofReplaced = holder == replaced;
    ask.seating = keeper.membership.seating();
    caller.call(holder.address, ask, CopyTold.class, PAGE_CALL_MS).whenComplete((told, failure) -> {
      if (over || !wanted.getAsBoolean()) {
        over = true;
      } else if (failure != null) {
        if (++failures > MOST_FAILURES) {
          end(false);
        } else {
          timers.after(AGAIN_MS, () -> ask(holder, after, bare, written));
        }
      } else if (!told.seated || told.life != holder.life) {
        end(false);
      } else {
        // No more than one page of each is being written while the next is on its way.
        written.whenComplete((none, fault) -> took(holder, bare, told, fault));
      }
    });
  }

  private void took(Seat holder, boolean bare, CopyTold told, Throwable fault) {
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
      for (Blob one : told.records) {
        listed.put(one.name, holder);
      }
    } else {
      written = keep(told.records);
    }
    if (!told.end && !told.records.isEmpty()) {
      ask(holder, told.records.get(told.records.size() - 1).name, bare, written);
      return;
    }
    written.whenComplete((none, failure) -> {
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
      Map.Entry<String, Seat> next = listed.entrySet().iterator().next();
      listed.remove(next.getKey());
      open++;
      fetch(next.getKey(), next.getValue());
    }
  }

  private void fetch(String name, Seat holder) {
    BlobAsk ask = new BlobAsk();
    ask.set = set;
    ask.key = names.keyOfBlob(name);
    ask.name = names.nameOfBlob(name);
    ask.seating = keeper.membership.seating();
    ask.ofReplaced = holder == replaced;
    caller.call(holder.address, ask, BlobTold.class, PAGE_CALL_MS).whenComplete((told, failure) -> {
      if (over || !wanted.getAsBoolean()) {
        over = true;
      } else if (failure != null && ++failures <= MOST_FAILURES) {
        timers.after(AGAIN_MS, () -> fetch(name, holder));
      } else if (failure != null || !told.seated) {
        end(false);
      } else if (!told.known) {
        // Dropped there meanwhile.
        fetched(null);
      } else {
        keeper.write(List.of(new Change(name, told.bytes))).whenComplete((none, fault) -> fetched(fault));
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
    return changes.isEmpty() ? CompletableFuture.completedFuture(null) : keeper.write(changes);
  }

  private void end(boolean whole) {
    if (!over) {
      over = true;
      then.accept(whole);
    }
  }
}
