package elmsail.lots.door;

import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.Note;
import elmsail.lots.ItemServers;
import elmsail.lots.LotCalls;
import elmsail.lots.Piece;
import elmsail.lots.run.LotRunner;
import elmsail.lots.run.Watch;
import elmsail.lots.store.LotStore;
import elmsail.lots.store.Tools;
import elmsail.lots.words.Kinds;
import elmsail.lots.words.LotReader;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Packer;
import elmsail.lots.words.Unpacker;
import elmsail.register.Register;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
import elmsail.timetable.Known;
import elmsail.timetable.Route;
import elmsail.timetable.Timetable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** The calls about lots at one door, and the running of those that are this door's. All on the loop. */
public final class LotsDoor implements LotCalls {
  private static final long MOST_HAND_IN_MS = 3_000;
  private static final long MOST_WAIT_MS = 1_000;
  private static final long CALL_MS = 1_500;
  private static final int MOST_ID = 200;
  /** Bytes of bodies that are being handed in, and calls held, at most. */
  private static final long MOST_BYTES = 24L << 20;
  private static final int MOST_READINGS = 2_000;

  private final Tools tools;
  private final Replies replies;
  private final LotStore store;
  private final LotRunner runner;
  private final Watch watch;
  private final Map<String, List<Reading>> readings = new HashMap<>();
  private int held;
  private long bytes;

  /**
   * @param register of the set "shelf"
   * @param innerAddress this door's own, as it stands in the roster
   * @param cancelMs the bound {@code cancel_ms}
   */
  public LotsDoor(Register register, Caller caller, Timers timers, Known known, String innerAddress,
      long seed,
      long cancelMs) {
    Random chance = new Random(seed);
    tools = new Tools(register, caller, timers, known, innerAddress, chance, cancelMs);
    replies = new Replies(chance);
    store = new LotStore(register);
    runner = new LotRunner(tools, store, this::changed);
    watch = new Watch(tools, store, runner);
  }

  /** Before it nothing runs. */
  public void setServers(ItemServers servers) {
    runner.setServers(servers);
  }

  /** Starts the beats to the keepers and the looking for lots that nobody runs. */
  public void start() {
    watch.start();
  }

  /** Answers the notes about lots; use this, or {@code answer} from a handler shared with others. */
  public void listen(Answering answering) {
    answering.on(Note.class, this::answer);
  }

  public CompletionStage<Note> answer(Note ask) {
    if (!ask.kind.equals(Kinds.ENDED)) {
      return CompletableFuture.failedFuture(new ElmsailException(Code.GARBLED, "a note of kind " + ask.kind));
    }
    ended(new Unpacker(ask.bytes).text());
    return CompletableFuture.completedFuture(Kinds.note(Kinds.ENDED, Replies.EMPTY));
  }

  /** How many lots this door runs. */
  public int running() {
    return runner.size();
  }

  @Override
  public CompletableFuture<Reply> handIn(Route route, String lotId, byte[] body, long deadlineMs) {
    Timetable timetable = tools.known().timetable();
    if (timetable == null || bytes + body.length > MOST_BYTES) {
      return CompletableFuture.completedFuture(replies.unable());
    }
    if (!proper(lotId)) {
      return CompletableFuture.completedFuture(Replies.MALFORMED);
    }
    List<Piece> pieces;
    try {
      pieces = LotReader.read(body);
    } catch (ElmsailException malformed) {
      return CompletableFuture.completedFuture(Replies.MALFORMED);
    }
    for (Piece piece : pieces) {
      if (timetable.find(route.host(), piece.lane()) == null) {
        return CompletableFuture.completedFuture(Replies.MALFORMED);
      }
    }
    HandIn call = new HandIn(tools, store, runner, replies, lotId, route, pieces,
        Math.min(deadlineMs, MOST_HAND_IN_MS));
    int held = call.bytes();
    bytes += held;
    return call.begin().whenComplete((reply, failed) -> bytes -= held);
  }

  @Override
  public CompletableFuture<Reply> read(String lotId, long after, long waitMs) {
    if (!proper(lotId)) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    if (held >= MOST_READINGS) {
      return CompletableFuture.completedFuture(replies.unable());
    }
    Reading reading = new Reading(tools, store, replies, lotId, Math.max(0, after),
        Math.max(0, Math.min(waitMs, MOST_WAIT_MS)));
    readings.computeIfAbsent(lotId, id -> new ArrayList<>()).add(reading);
    held++;
    return reading.begin().whenComplete((reply, failed) -> {
      held--;
      List<Reading> of = readings.get(lotId);
      of.remove(reading);
      if (of.isEmpty()) {
        readings.remove(lotId);
      }
    });
  }

  @Override
  public CompletableFuture<Reply> item(String lotId, String itemId) {
    if (!proper(lotId) || itemId == null) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    return store.read(lotId, CALL_MS).thenCompose(record -> {
      if (record == null) {
        return CompletableFuture.completedFuture(Replies.NONE);
      }
      return store.pieces(lotId, record, CALL_MS).thenApply(pieces -> {
        for (Piece piece : pieces) {
          if (piece.id().equals(itemId)) {
            return new Reply(200, piece.contents(), 0);
          }
        }
        return Replies.NONE;
      });
    }).exceptionally(failed -> replies.unable());
  }

  @Override
  public CompletableFuture<Reply> end(String lotId) {
    if (!proper(lotId)) {
      return CompletableFuture.completedFuture(Replies.NONE);
    }
    return end(lotId, 2).exceptionally(
        failed -> Replies.mayHold(failed) ? Replies.UNCLEAR : replies.unable());
  }

  private CompletableFuture<Reply> end(String lotId, int tries) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    tools.register().change(LotRecord.keyOf(lotId), found -> {
      LotRecord record = found.value() == null ? null : LotRecord.unpacked(found.value());
      return new Register.Wanted(record == null || record.ended() ? null : record.endedNow().packed(),
          List.of());
    }, List.of(), null, CALL_MS).whenComplete((now, failed) -> {
      if (failed == null) {
        reply.complete(ended(lotId, now));
      } else if (tries > 1) {
        end(lotId, tries - 1).whenComplete((later, failedToo) -> {
          if (failedToo == null) {
            reply.complete(later);
          } else {
            reply.completeExceptionally(Replies.mayHold(failed) ? failed : failedToo);
          }
        });
      } else {
        reply.completeExceptionally(failed);
      }
    });
    return reply;
  }

  private Reply ended(String lotId, Register.Held now) {
    LotRecord record = store.decided(lotId, now.now());
    if (record == null) {
      return Replies.NONE;
    }
    ended(lotId);
    if (!record.runner().equals(tools.self())) {
      tools.caller().call(record.runner(), Kinds.note(Kinds.ENDED, new Packer().text(lotId).packed()),
          Note.class,
          CALL_MS);
    }
    return Replies.DONE;
  }

  private void ended(String lotId) {
    runner.stop(lotId);
    changed(lotId);
  }

  private void changed(String lotId) {
    List<Reading> of = readings.get(lotId);
    if (of != null) {
      for (Reading reading : List.copyOf(of)) {
        reading.wake();
      }
    }
  }

  private static boolean proper(String lotId) {
    if (lotId == null || lotId.isEmpty() || lotId.length() > MOST_ID) {
      return false;
    }
    for (int i = 0; i < lotId.length(); i++) {
      char one = lotId.charAt(i);
      if (one <= ' ' || one > '~' || one == '/') {
        return false;
      }
    }
    return true;
  }
}
