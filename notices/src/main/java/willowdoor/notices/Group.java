package willowdoor.notices;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Readers of one customer that share one encoded copy of the events: a window of chunks that the
 * slowest reader has not taken yet. The window moves on when the last reader has taken its oldest
 * chunk, so one slow reader holds up all readers once the window is full.
 */
final class Group {
  private static final long HELD_UP_MS = 500;

  private final Limits limits;
  private final ServerSentEvents events;
  private final Ring<Reader.Chunk> window = new Ring<>(0);
  private final List<Reader> readers = new ArrayList<>();
  private long bytes;

  /** Time since which the window is full, or -1 if it is not. */
  private long fullMs = -1;

  /** The next event of the front door's order to encode, and the position before that event. */
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

  /**
   * Returns the number of the first event of the front door's order that the group has not encoded
   * yet.
   */
  long nextEvent() {
    return nextEvent;
  }

  /** Returns whether the window has been full for at least {@link #HELD_UP_MS}. */
  boolean heldUp(long nowMs) {
    return fullMs >= 0 && nowMs - fullMs >= HELD_UP_MS;
  }

  /**
   * Encodes the events that fit into the window.
   *
   * @return whether the window got a new chunk
   */
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
   * Reports the events that the front door evicted before the group encoded them. All gaps form one
   * chunk, since a reader between two gap events would be neither before nor after the evicted
   * events.
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

  /** Writes chunks to a reader, up to the limit of bytes in flight. */
  void writeTo(Reader reader, Consumer<Effect> effects) {
    while (!reader.closing
        && reader.nextToWrite < window.end()
        && reader.inFlightBytes() < limits.inflightBytes()) {
      reader.write(window.get(reader.nextToWrite++), effects);
    }
  }

  /** Records that a reader's socket has taken its next chunk. */
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
   * Adds a reader that has received all events before {@code readerNextEvent}, if the window
   * reaches back to that event.
   *
   * @return whether the reader was added
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
    // A reader that is behind the window would miss events and is not added. Chunks that the
    // reader has already received are skipped, since they would be delivered twice.
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

  /**
   * Removes a reader. Chunks in flight to the reader stay in its own queue.
   *
   * @return the number of the next event that the reader lacks
   */
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

  /** Returns the number of the event in a chunk whose predecessor is no longer in the window. */
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
