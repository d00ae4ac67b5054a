package elmsail.lots.store;

import elmsail.inner.words.Ballot;
import elmsail.lots.Piece;
import elmsail.lots.words.LotBody;
import elmsail.lots.words.LotRecord;
import elmsail.register.Register;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Lots' decided records, bodies and texts, as read at the keepers, with bounded caches of each. */
public final class LotStore {
  private static final long RECORDS_BYTES = 4L << 20;
  private static final long BODIES_BYTES = 8L << 20;
  private static final long TEXTS_BYTES = 8L << 20;
  private static final int ITEM_BYTES = 120;

  private record Seen(Ballot ballot, LotRecord record) {
  }

  private record Body(List<Piece> pieces, int bytes) {
  }

  private final Register register;
  private final Lru<Seen> records = new Lru<>(RECORDS_BYTES,
      s -> 200 + s.record().items().size() * ITEM_BYTES);
  private final Lru<Body> bodies = new Lru<>(BODIES_BYTES, Body::bytes);
  private final Lru<byte[]> texts = new Lru<>(TEXTS_BYTES, t -> t.length + 100);
  private final Map<String, CompletableFuture<byte[]>> fetching = new HashMap<>();

  public LotStore(Register register) {
    this.register = register;
  }

  /** The decided record, at least as new as this call; null if there is surely none. */
  public CompletableFuture<LotRecord> read(String lot, long timeoutMs) {
    Seen seen = records.get(lot);
    return register.read(LotRecord.keyOf(lot), seen == null ? null : seen.ballot(), timeoutMs)
        .thenApply(now -> taken(lot, seen, now));
  }

  /** Takes what a read or a change said is decided; null if there is none. */
  public LotRecord decided(String lot, Register.Versioned now) {
    return taken(lot, records.get(lot), now);
  }

  private LotRecord taken(String lot, Seen seen, Register.Versioned now) {
    if (now.value() == null) {
      return seen != null && same(seen.ballot(), now.ballot()) ? seen.record() : null;
    }
    LotRecord record = LotRecord.unpacked(now.value());
    Seen newest = records.get(lot);
    if (newest == null || newest.record().version() <= record.version()) {
      records.put(lot, new Seen(now.ballot(), record));
    }
    return record;
  }

  private static boolean same(Ballot one, Ballot other) {
    return one != null && other != null && one.round == other.round && one.who == other.who;
  }

  /** The pieces of a lot that is there; fails if nobody who has them answers. */
  public CompletableFuture<List<Piece>> pieces(String lot, LotRecord record, long timeoutMs) {
    Body there = bodies.get(lot);
    if (there != null) {
      return CompletableFuture.completedFuture(there.pieces());
    }
    return fetch(lot, record.body(), timeoutMs).thenApply(bytes -> {
      List<Piece> pieces = LotBody.unpacked(bytes);
      keep(lot, pieces, bytes.length);
      return pieces;
    });
  }

  public void keep(String lot, List<Piece> pieces, int bytes) {
    bodies.put(lot, new Body(pieces, bytes + 100));
  }

  /** The text of a listed result; fails if nobody who has it answers. */
  public CompletableFuture<byte[]> text(String lot, LotRecord.Result result, long timeoutMs) {
    String name = lot + "/" + result.textName();
    byte[] there = texts.get(name);
    if (there != null) {
      return CompletableFuture.completedFuture(there);
    }
    return fetch(lot, result.textName(), timeoutMs).thenApply(bytes -> {
      if (bytes.length != result.textBytes()) {
        throw new ElmsailException(Code.GARBLED, "a text of " + bytes.length + " bytes");
      }
      texts.put(name, bytes);
      return bytes;
    });
  }

  public void keepText(String lot, LotRecord.Result result, byte[] text) {
    texts.put(lot + "/" + result.textName(), text);
  }

  private CompletableFuture<byte[]> fetch(String lot, String name, long timeoutMs) {
    String whole = lot + "/" + name;
    CompletableFuture<byte[]> under = fetching.get(whole);
    if (under != null) {
      return under;
    }
    CompletableFuture<byte[]> fetched = register.blob(LotRecord.keyOf(lot), name, timeoutMs)
        .thenApply(bytes -> {
      if (bytes == null) {
        throw new ElmsailException(Code.NOT_REACHED, "no keeper has " + name);
      }
      return bytes;
    });
    fetching.put(whole, fetched);
    fetched.whenComplete((bytes, failed) -> fetching.remove(whole));
    return fetched;
  }
}
