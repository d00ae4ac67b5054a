package elmsail.lots.keep;

import elmsail.inner.Answering;
import elmsail.inner.words.Note;
import elmsail.lots.words.Beat;
import elmsail.lots.words.Count;
import elmsail.lots.words.Kinds;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Orphan;
import elmsail.lots.words.Packer;
import elmsail.lots.words.Unpacker;
import elmsail.register.Views;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The views of a process that keeps lots: the count of waiting tokens, and when each open lot's runner was
 * heard last. On the loop.
 */
public final class LotsKeeper implements Views {
  private static final String PREFIX = "lot/";
  private static final long LOOK_MS = 5_000;
  private static final long DROP_SLACK_MS = 30_000;
  private static final int MOST_ORPHANS = 64;
  private static final byte[] NOTHING = {};

  private final Timers timers;
  private final BooleanSupplier seated;
  private final Consumer<String> drop;
  private final long statusMs;
  private final Shelf shelf = new Shelf();

  /**
   * @param seated whether this process holds a seat and has its memory; else it answers no note
   * @param drop drops a key and its blobs here ({@code SetKeeper.drop}); may call {@code dropped}
   * @param statusMs for how long a lot may be read after it was sent
   */
  public LotsKeeper(Timers timers, BooleanSupplier seated, Consumer<String> drop, long statusMs) {
    this.timers = timers;
    this.seated = seated;
    this.drop = drop;
    this.statusMs = statusMs;
  }

  /** Starts the looking for lots to drop. */
  public void start() {
    timers.after(LOOK_MS, this::look);
  }

  /** Answers the notes about lots; use this, or {@code answer} from a handler shared with others. */
  public void listen(Answering answering) {
    answering.on(Note.class, this::answer);
  }

  public CompletionStage<Note> answer(Note ask) {
    if (!seated.getAsBoolean()) {
      return CompletableFuture.completedFuture(Kinds.note(Kinds.NOT_SEATED, NOTHING));
    }
    try {
      byte[] told = switch (ask.kind) {
        case Kinds.BEAT -> beat(Beat.unpacked(ask.bytes));
        case Kinds.ORPHANS -> Orphan.packed(
            shelf.orphans(new Unpacker(ask.bytes).number(), MOST_ORPHANS, timers.now()));
        case Kinds.WITHDRAW -> withdraw(Count.Add.unpacked(ask.bytes));
        default -> throw new ElmsailException(Code.GARBLED, "a note of kind " + ask.kind);
      };
      return CompletableFuture.completedFuture(Kinds.note(ask.kind, told));
    } catch (ElmsailException garbled) {
      return CompletableFuture.failedFuture(garbled);
    }
  }

  @Override
  public byte[] noted(String key, byte[] note) {
    if (!key.startsWith(PREFIX) || note == null || note.length == 0) {
      return null;
    }
    return shelf.added(Count.Add.unpacked(note), timers.now());
  }

  @Override
  public boolean admits(String key, byte[] value) {
    return !key.startsWith(PREFIX)
        || shelf.admits(key.substring(PREFIX.length()), LotRecord.unpacked(value), timers.now());
  }

  @Override
  public void taken(String key, byte[] value) {
    if (key.startsWith(PREFIX) && value != null) {
      shelf.taken(key.substring(PREFIX.length()), LotRecord.unpacked(value), timers.now());
    }
  }

  @Override
  public void dropped(String key) {
    if (key.startsWith(PREFIX)) {
      shelf.dropped(key.substring(PREFIX.length()));
    }
  }

  /** How many lots this process keeps. */
  public int size() {
    return shelf.size();
  }

  private byte[] beat(Beat beat) {
    Packer told = new Packer();
    for (int one : shelf.heard(beat, timers.now())) {
      told.number(one);
    }
    return told.packed();
  }

  private byte[] withdraw(Count.Add add) {
    shelf.withdrawn(add);
    return NOTHING;
  }

  private void look() {
    for (String lot : shelf.outlived(statusMs, DROP_SLACK_MS, timers.now())) {
      drop.accept(PREFIX + lot);
      shelf.dropped(lot);
    }
    timers.after(LOOK_MS, this::look);
  }
}
