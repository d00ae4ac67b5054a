package willowdoor.notices;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a front door keeps of one customer's notices: the streams, and one order over them in which
 * its readers get them. Bounded in bytes and time; the oldest go first.
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
   * The least that readers which resumed here need of streams that are yet to be offered; null
   * where none did.
   */
  private Position neededPosition;

  /** Since when the customer has readers here, -1 while it has none. */
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
   * A stream of which all up to {@code after} is not to be had here.
   *
   * @return the one that had to go for it, or null
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

  /** Puts a notice in the order of this front door's readers. */
  void append(Notice notice, long nowMs) {
    latestPosition = latestPosition.with(notice.stream(), notice.seq());
    add(
        new Entry(nowMs, notice.stream(), notice.seq(), notice.seq(), notice, latestPosition),
        nowMs);
  }

  /**
   * Puts a gap there.
   *
   * @param to its last count, or {@link Entry#OPEN_ENDED}
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

  /** Lets go of the oldest event, where there is one. */
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
      // Of a stream that is forgotten; whoever still reads it is a minute behind at least.
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

  /** Forgets the streams on which nothing has come for long. @return them */
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

  /** The number of the oldest event held. */
  long first() {
    return events.first();
  }

  /** The number that the next event gets. */
  long end() {
    return events.end();
  }

  Entry get(long number) {
    return events.get(number);
  }

  /** How far a reader is that has had all. */
  Position latestPosition() {
    return latestPosition;
  }

  /** How far a reader is that has had all that is not held any more. */
  Position evictedPosition() {
    return evictedPosition;
  }

  long bytes() {
    return bytes;
  }

  /**
   * A reader has come.
   *
   * @param resume from where, null where it begins now
   */
  void readerArrived(Position resume, long nowMs) {
    if (readersSinceMs < 0) {
      readersSinceMs = nowMs;
    }
    if (resume != null) {
      neededPosition = neededPosition == null ? resume : neededPosition.min(resume);
    }
  }

  /** The last reader has gone. */
  void lastReaderLeft() {
    readersSinceMs = -1;
    neededPosition = null;
  }

  boolean hasReaders() {
    return readersSinceMs >= 0;
  }

  /** What to ask for of a stream that is offered for the first time. */
  PeerMessage.Want wantFor(StreamId id, boolean asReplicaHolder, long nowMs) {
    if (asReplicaHolder) {
      return new PeerMessage.Want(id, 0, PeerMessage.Want.UNSPECIFIED);
    }
    long after = neededPosition == null ? PeerMessage.Want.UNSPECIFIED : neededPosition.of(id);
    return new PeerMessage.Want(id, after, nowMs - readersSinceMs);
  }
}
