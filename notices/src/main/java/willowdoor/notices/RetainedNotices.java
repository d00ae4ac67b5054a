package willowdoor.notices;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The retained notices of one customer at a front door: the streams, and one order over all streams
 * in which the readers get the events. Bounded in bytes and time; the oldest events are evicted
 * first.
 */
final class RetainedNotices {
  final long customer;
  private final Limits limits;
  private final Map<StreamId, Stream> streams = new LinkedHashMap<>();
  private final Ring<Entry> events = new Ring<>(0);
  private Position latestPosition = Position.NONE;
  private Position evictedPosition = Position.NONE;
  private long bytes;

  /**
   * Minimum position of readers that resumed here, for streams that peers have not offered yet;
   * null if no reader resumed.
   */
  private Position neededPosition;

  /** Time since which the customer has readers here, or -1 if it has none. */
  private long readersSinceMs = -1;

  RetainedNotices(long customer, Limits limits) {
    this.customer = customer;
    this.limits = limits;
  }

  Stream stream(StreamId id) {
    return streams.get(id);
  }

  Collection<Stream> streams() {
    return streams.values();
  }

  /**
   * Opens a stream of which notices up to {@code after} are not available here.
   *
   * @return the stream that was removed to make room, or null
   */
  Stream open(StreamId id, long after, boolean own, long nowMs) {
    Stream evicted = null;
    if (streams.size() >= Position.MAX_STREAMS) {
      for (Stream stream : streams.values()) {
        if (evicted == null || stream.lastAppendMs < evicted.lastAppendMs) {
          evicted = stream;
        }
      }
      forget(evicted);
    }
    streams.put(id, new Stream(customer, id, after, own, nowMs));
    latestPosition = latestPosition.with(id, after);
    return evicted;
  }

  /** Appends a notice to the order of this front door's readers. */
  void append(Notice notice, long nowMs) {
    latestPosition = latestPosition.with(notice.stream(), notice.seq());
    add(
        new Entry(nowMs, notice.stream(), notice.seq(), notice.seq(), notice, latestPosition),
        nowMs);
  }

  /**
   * Appends a gap to the order of this front door's readers.
   *
   * @param to last count of the gap, or {@link Entry#OPEN_ENDED}
   */
  void gap(Stream stream, long to, long nowMs) {
    long from = stream.last() + 1;
    if (to != Entry.OPEN_ENDED) {
      stream.skipTo(to);
      latestPosition = latestPosition.with(stream.id, to);
    }
    add(new Entry(nowMs, stream.id, from, to, null, latestPosition), nowMs);
  }

  private void add(Entry entry, long nowMs) {
    events.add(entry);
    bytes += entry.cost();
    evict(nowMs);
  }

  void evict(long nowMs) {
    while (!events.isEmpty()
        && (bytes > limits.retainBytes()
            || nowMs - events.get(events.first()).atMs() > limits.retainMs())) {
      evictOldest();
    }
  }

  /** Evicts the oldest event, if there is one. */
  void evictOldest() {
    if (events.isEmpty()) {
      return;
    }
    Entry entry = events.removeFirst();
    bytes -= entry.cost();
    for (int i = 0; i < entry.after().size(); i++) {
      evictedPosition = evictedPosition.with(entry.after().id(i), entry.after().count(i));
    }
    for (int i = 0;
        i < evictedPosition.size() && evictedPosition.size() > 2 * Position.MAX_STREAMS;
        i++) {
      // Removes a stream that is no longer known here. A reader that still needs the entry is at
      // least a minute behind.
      evictedPosition =
          streams.containsKey(evictedPosition.id(i))
              ? evictedPosition
              : evictedPosition.without(evictedPosition.id(i));
    }
    Stream stream = streams.get(entry.stream());
    if (stream != null && entry.notice() != null) {
      stream.drop(entry.to());
    }
  }

  /**
   * Removes the streams that have been idle for long.
   *
   * @return the removed streams
   */
  List<Stream> forgetIdle(long nowMs) {
    List<Stream> idle = new ArrayList<>();
    for (Stream stream : streams.values()) {
      long after = Limits.IDLE_STREAM_MS * (stream.own ? 1 : 2);
      if (nowMs - stream.lastAppendMs > after && stream.last() < stream.first()) {
        idle.add(stream);
      }
    }
    idle.forEach(this::forget);
    return idle;
  }

  private void forget(Stream stream) {
    streams.remove(stream.id);
    latestPosition = latestPosition.without(stream.id);
  }

  /** Returns the number of the oldest retained event. */
  long first() {
    return events.first();
  }

  /** Returns the number that the next event gets. */
  long end() {
    return events.end();
  }

  Entry get(long number) {
    return events.get(number);
  }

  /** Returns the position of a reader that has received all events. */
  Position latestPosition() {
    return latestPosition;
  }

  /** Returns the position of a reader that has received all evicted events. */
  Position evictedPosition() {
    return evictedPosition;
  }

  long bytes() {
    return bytes;
  }

  /**
   * Records that a reader has connected.
   *
   * @param resume the position to resume from, or null if the reader begins now
   */
  void readerArrived(Position resume, long nowMs) {
    if (readersSinceMs < 0) {
      readersSinceMs = nowMs;
    }
    if (resume != null) {
      neededPosition = neededPosition == null ? resume : neededPosition.min(resume);
    }
  }

  /** Records that the last reader has disconnected. */
  void lastReaderLeft() {
    readersSinceMs = -1;
    neededPosition = null;
  }

  boolean hasReaders() {
    return readersSinceMs >= 0;
  }

  /** Returns the request for a stream that is offered for the first time. */
  PeerMessage.Want wantFor(StreamId id, boolean asReplicaHolder, long nowMs) {
    if (asReplicaHolder) {
      return new PeerMessage.Want(id, 0, PeerMessage.Want.UNSPECIFIED);
    }
    long after = neededPosition == null ? PeerMessage.Want.UNSPECIFIED : neededPosition.of(id);
    return new PeerMessage.Want(id, after, nowMs - readersSinceMs);
  }
}
