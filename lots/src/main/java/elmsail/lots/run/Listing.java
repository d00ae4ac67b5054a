package elmsail.lots.run;

import elmsail.inner.words.Blob;
import elmsail.lots.store.LotStore;
import elmsail.lots.store.Tools;
import elmsail.lots.words.LotRecord;
import elmsail.register.Register;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;

/**
 * Lists finished items: one change of a lot's record at a time. The texts go with the first round, so that
 * they are at a majority before anyone is asked to take the listing: whoever finishes it finds them there.
 */
final class Listing {
  private static final long GATHER_MS = 40;
  private static final long CHANGE_MS = 2_000;
  private static final long BACKOFF_MS = 150;
  private static final int MOST_BYTES = 1 << 20;
  /** With a note there is always a first round. */
  private static final byte[] NO_NOTE = {};

  private final Tools tools;
  private final LotStore store;
  private final LotRunner runner;
  private final Consumer<String> changed;

  Listing(Tools tools, LotStore store, LotRunner runner, Consumer<String> changed) {
    this.tools = tools;
    this.store = store;
    this.runner = runner;
    this.changed = changed;
  }

  /** Lists what is finished, with what else is finished in the next moments. */
  void soon(RunningLot lot) {
    if (lot.listing || lot.stopped || lot.finished.isEmpty()) {
      return;
    }
    long wait = lot.listedAt + GATHER_MS - tools.timers().now();
    if (lot.allDone()) {
      tools.timers().soon(() -> list(lot));
    } else if (!lot.listingSet) {
      lot.listingSet = true;
      tools.timers().after(wait, () -> {
        lot.listingSet = false;
        list(lot);
      });
    }
  }

  private void list(RunningLot lot) {
    if (lot.listing || lot.stopped || lot.finished.isEmpty()) {
      return;
    }
    lot.listing = true;
    long began = tools.timers().now();
    List<RunningLot.Finished> batch = lot.batch(MOST_BYTES);
    tools.register()
        .change(LotRecord.keyOf(lot.id), found -> wanted(lot, batch, found), texts(batch), NO_NOTE,
            CHANGE_MS)
        .whenComplete((held, failed) -> {
          lot.listing = false;
          if (lot.stopped) {
            return;
          }
          if (failed == null) {
            listed(lot, batch, held.now(), began);
          } else {
            tools.timers().after(tools.about(BACKOFF_MS), () -> list(lot));
          }
        });
  }

  private static List<Blob> texts(List<RunningLot.Finished> batch) {
    List<Blob> texts = new ArrayList<>();
    for (RunningLot.Finished one : batch) {
      if (one.result().delivered()) {
        Blob text = new Blob();
        text.name = one.result().textName();
        text.bytes = one.text();
        texts.add(text);
      }
    }
    return texts;
  }

  /** Null where the lot is no more this door's in this term. */
  private LotRecord ours(RunningLot lot, byte[] value) {
    if (value == null) {
      return null;
    }
    LotRecord record = LotRecord.unpacked(value);
    boolean ours = record.term() == lot.term && record.runner().equals(tools.self());
    return ours && !record.ended() ? record : null;
  }

  private Register.Wanted wanted(RunningLot lot, List<RunningLot.Finished> batch, Register.Found found) {
    LotRecord record = ours(lot, found.value());
    if (record == null || lot.stopped) {
      return new Register.Wanted(null, List.of());
    }
    BitSet listed = record.listed();
    List<LotRecord.Result> more = new ArrayList<>();
    for (RunningLot.Finished one : batch) {
      if (!listed.get(one.result().index())) {
        more.add(one.result());
      }
    }
    if (more.isEmpty()) {
      return new Register.Wanted(null, List.of());
    }
    return new Register.Wanted(record.listing(more, lot.ageMs(tools.timers().now())).packed(), List.of());
  }

  private void listed(RunningLot lot, List<RunningLot.Finished> batch, Register.Versioned now, long began) {
    store.decided(lot.id, now);
    LotRecord record = ours(lot, now.value());
    if (record == null) {
      runner.stop(lot.id);
      changed.accept(lot.id);
      return;
    }
    lot.record = record;
    lot.listedAt = tools.timers().now();
    lot.confirmed(began);
    BitSet listed = record.listed();
    for (RunningLot.Finished one : batch) {
      if (listed.get(one.result().index()) && lot.finished.remove(one.result().index()) != null) {
        runner.unheld(one.text().length);
        if (one.result().delivered()) {
          store.keepText(lot.id, one.result(), one.text());
        }
      }
    }
    if (record.complete()) {
      runner.stop(lot.id);
    } else {
      soon(lot);
    }
    changed.accept(lot.id);
  }
}
