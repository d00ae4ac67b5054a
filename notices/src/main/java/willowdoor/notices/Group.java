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
  private static final long HELD_UP_MS = 500;

  private final Limits limits;
  private final ServerSentEvents events;
  private final Ring<Reader.Chunk> window = new Ring<>(0);
  private final List<Reader> readers = new ArrayList<>();
  private long bytes;

  /** Since when the window is full, -1 while it is not. */
  private long fullMs = -1;

  /** The next event of the front door's order to encode, and the position before it. */
  private long nextEvent;

  private Position position;

  Group(Limits limits, ServerSentEvents events, long nextEvent, Position position) {
    this.limits = limits;
    this.events = events;
    this.nextEvent = nextEvent;
    this.position = position;
  }

  List<Reader> readers() {
    return readers;
  }

  long bytes() {
    return bytes;
  }

  /** The next event of the front door's order that it has not in its window. */
  long nextEvent() {
    return nextEvent;
  }

  /** Whether its window has been full for a while. */
  boolean heldUp(long nowMs) {
    return fullMs >= 0 && nowMs - fullMs >= HELD_UP_MS;
  }

  /** Encodes what fits into the window. @return whether anything came in */
  boolean fill(RetainedNotices retained, long nowMs) {
    long before = window.end();
    if (readers.isEmpty()) {
      nextEvent = retained.end();
      position = retained.latestPosition();
      fullMs = -1;
      return false;
    }
    if (nextEvent < retained.first() && bytes < limits.windowBytes()) {
      reportEvicted(retained, nowMs);
    }
    while (bytes < limits.windowBytes() && nextEvent < retained.end()) {
      Entry entry = retained.get(nextEvent++);
      position = entry.after();
      add(
          entry.notice() != null
              ? events.notice(entry.notice(), position)
              : events.gap(entry.stream(), entry.from(), entry.to(), position),
          nowMs);
    }
    fullMs = bytes < limits.windowBytes() ? -1 : fullMs < 0 ? nowMs : fullMs;
    return window.end() > before;
  }

  /**
   * Tells what the front door had to let go of before the group came to it: one piece, since a
   * reader between two of them would be neither before nor after what is gone.
   */
  private void reportEvicted(RetainedNotices retained, long nowMs) {
    ByteArrayOutputStream gaps = new ByteArrayOutputStream();
    for (IndividualDelivery.MissingRange range :
        IndividualDelivery.missingRanges(position, retained)) {
      position = position.with(range.stream(), range.to());
      gaps.writeBytes(events.gap(range.stream(), range.from(), range.to(), position));
    }
    nextEvent = retained.first();
    if (gaps.size() > 0) {
      add(gaps.toByteArray(), nowMs);
    }
  }

  private void add(byte[] encoded, long nowMs) {
    Reader.Chunk chunk = new Reader.Chunk(encoded, position, this, nextEvent, nowMs);
    chunk.pendingReaders = readers.size();
    bytes += encoded.length;
    window.add(chunk);
  }

  /** Writes to a reader what it may have under way. */
  void writeTo(Reader reader, Consumer<Effect> effects) {
    while (!reader.closing
        && reader.nextToWrite < window.end()
        && reader.inFlightBytes() < limits.inflightBytes()) {
      reader.write(window.get(reader.nextToWrite++), effects);
    }
  }

  /** A reader has taken its next piece. */
  void chunkTaken(Reader reader) {
    window.get(reader.nextToTake++).pendingReaders--;
    trim();
  }

  private void trim() {
    while (!window.isEmpty() && window.get(window.first()).pendingReaders == 0) {
      bytes -= window.removeFirst().bytes.length;
    }
  }

  /**
   * Takes in a reader that has had all before that event, where the window is at it.
   *
   * @return whether it did
   */
  boolean join(Reader reader, long readerNextEvent) {
    if (readers.isEmpty()) {
      nextEvent = readerNextEvent;
      position = reader.position;
    } else if (readerNextEvent > nextEvent) {
      return false;
    }
    long index = window.end();
    while (index > window.first() && window.get(index - 1).nextEvent > readerNextEvent) {
      index--;
    }
    // It is at the window where it has had all before it; what the window holds and it has had
    // would come
    // twice.
    boolean joins =
        window.isEmpty()
            ? nextEvent == readerNextEvent
            : index > window.first() || readerNextEvent >= window.get(index).nextEvent - 1;
    if (joins) {
      for (long n = index; n < window.end(); n++) {
        window.get(n).pendingReaders++;
      }
      reader.group = this;
      reader.nextToWrite = index;
      reader.nextToTake = index;
      readers.add(reader);
    }
    return joins;
  }

  /** A reader leaves; what is under way to it stays its own. @return the next event it lacks */
  long leave(Reader reader) {
    readers.remove(reader);
    for (long n = reader.nextToTake; n < window.end(); n++) {
      window.get(n).pendingReaders--;
    }
    long next =
        reader.nextToWrite < window.end() && reader.nextToWrite > window.first()
            ? window.get(reader.nextToWrite - 1).nextEvent
            : reader.nextToWrite == window.end() ? nextEvent : eventOf(reader.nextToWrite);
    reader.group = null;
    trim();
    return next;
  }

  /** The event that a piece was made of, where the piece before it is not held any more. */
  private long eventOf(long number) {
    return window.get(number).nextEvent - 1;
  }

  long lagMs(Reader reader, long nowMs) {
    return reader.nextToTake < window.end() ? nowMs - window.get(reader.nextToTake).atMs : 0;
  }

  long lagBytes(Reader reader) {
    long lag = 0;
    for (long n = reader.nextToTake; n < window.end(); n++) {
      lag += window.get(n).bytes.length;
    }
    return lag;
  }
}
