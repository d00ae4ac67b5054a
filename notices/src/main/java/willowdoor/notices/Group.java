package willowdoor.notices;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Readers of one customer that share one encoded copy: a window of pieces that all but the slowest
 * have taken. It moves on when the last reader has taken its oldest piece, so one slow reader holds
 * up all once the window is full.
 */
final class Group {
  private static final long HELD_MS = 500;

  private final Limits limits;
  private final ServerSentEvents events;
  private final Ring<Reader.Piece> window = new Ring<>(0);
  private final List<Reader> readers = new ArrayList<>();
  private long bytes;

  /** Since when the window is full, -1 while it is not. */
  private long fullMs = -1;

  /** The next event of the front door's order to encode, and the position before it. */
  private long order;

  private Position at;

  Group(Limits limits, ServerSentEvents events, long order, Position at) {
    this.limits = limits;
    this.events = events;
    this.order = order;
    this.at = at;
  }

  List<Reader> readers() {
    return readers;
  }

  long bytes() {
    return bytes;
  }

  /** The next event of the front door's order that it has not in its window. */
  long order() {
    return order;
  }

  /** Whether its window has been full for a while. */
  boolean heldUp(long nowMs) {
    return fullMs >= 0 && nowMs - fullMs >= HELD_MS;
  }

  /** Encodes what fits into the window. @return whether anything came in */
  boolean fill(Retained retained, long nowMs) {
    long before = window.end();
    if (readers.isEmpty()) {
      order = retained.end();
      at = retained.seen();
      fullMs = -1;
      return false;
    }
    if (order < retained.first() && bytes < limits.windowBytes()) {
      skip(retained, nowMs);
    }
    while (bytes < limits.windowBytes() && order < retained.end()) {
      Entry entry = retained.get(order++);
      at = entry.after();
      add(
          entry.notice() != null
              ? events.notice(entry.notice(), at)
              : events.gap(entry.stream(), entry.from(), entry.to(), at),
          nowMs);
    }
    fullMs = bytes < limits.windowBytes() ? -1 : fullMs < 0 ? nowMs : fullMs;
    return window.end() > before;
  }

  /**
   * Tells what the front door had to let go of before the group came to it: one piece, since a
   * reader between two of them would be neither before nor after what is gone.
   */
  private void skip(Retained retained, long nowMs) {
    ByteArrayOutputStream gaps = new ByteArrayOutputStream();
    for (Alone.Lack lack : Alone.lacks(at, retained)) {
      at = at.with(lack.stream(), lack.to());
      gaps.writeBytes(events.gap(lack.stream(), lack.from(), lack.to(), at));
    }
    order = retained.first();
    if (gaps.size() > 0) {
      add(gaps.toByteArray(), nowMs);
    }
  }

  private void add(byte[] encoded, long nowMs) {
    Reader.Piece piece = new Reader.Piece(encoded, at, this, order, nowMs);
    piece.left = readers.size();
    bytes += encoded.length;
    window.add(piece);
  }

  /** Writes to a reader what it may have under way. */
  void feed(Reader reader, Consumer<Effect> effects) {
    while (!reader.closing
        && reader.next < window.end()
        && reader.outBytes() < limits.inflightBytes()) {
      reader.write(window.get(reader.next++), effects);
    }
  }

  /** A reader has taken its next piece. */
  void done(Reader reader) {
    window.get(reader.done++).left--;
    trim();
  }

  private void trim() {
    while (!window.isEmpty() && window.get(window.first()).left == 0) {
      bytes -= window.removeFirst().bytes.length;
    }
  }

  /**
   * Takes in a reader that has had all before that event, where the window is at it.
   *
   * @return whether it did
   */
  boolean join(Reader reader, long readerOrder) {
    if (readers.isEmpty()) {
      order = readerOrder;
      at = reader.at;
    } else if (readerOrder > order) {
      return false;
    }
    long place = window.end();
    while (place > window.first() && window.get(place - 1).order > readerOrder) {
      place--;
    }
    // It is at the window where it has had all before it; what the window holds and it has had
    // would come
    // twice.
    boolean joins =
        window.isEmpty()
            ? order == readerOrder
            : place > window.first() || readerOrder >= window.get(place).order - 1;
    if (joins) {
      for (long n = place; n < window.end(); n++) {
        window.get(n).left++;
      }
      reader.group = this;
      reader.next = place;
      reader.done = place;
      readers.add(reader);
    }
    return joins;
  }

  /** A reader leaves; what is under way to it stays its own. @return the next event it lacks */
  long leave(Reader reader) {
    readers.remove(reader);
    for (long n = reader.done; n < window.end(); n++) {
      window.get(n).left--;
    }
    long next =
        reader.next < window.end() && reader.next > window.first()
            ? window.get(reader.next - 1).order
            : reader.next == window.end() ? order : orderBefore(reader.next);
    reader.group = null;
    trim();
    return next;
  }

  /** The event that a piece was made of, where the piece before it is not held any more. */
  private long orderBefore(long number) {
    return window.get(number).order - 1;
  }

  long lagMs(Reader reader, long nowMs) {
    return reader.done < window.end() ? nowMs - window.get(reader.done).atMs : 0;
  }

  long lagBytes(Reader reader) {
    long lag = 0;
    for (long n = reader.done; n < window.end(); n++) {
      lag += window.get(n).bytes.length;
    }
    return lag;
  }
}
