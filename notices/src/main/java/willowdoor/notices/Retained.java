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
final class Retained {
  final long customer;
  private final Limits limits;
  private final Map<StreamId, Stream> streams = new LinkedHashMap<>();
  private final Ring<Entry> order = new Ring<>(0);
  private Position seen = Position.NONE;
  private Position dropped = Position.NONE;
  private long bytes;

  /**
   * The least that readers which resumed here need of streams that are yet to be offered; null
   * where none did.
   */
  private Position needed;

  /** Since when the customer has readers here, -1 while it has none. */
  private long readersMs = -1;

  Retained(long customer, Limits limits) {
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
    Stream gone = null;
    if (streams.size() >= Position.MAX_STREAMS) {
      for (Stream stream : streams.values()) {
        if (gone == null || stream.lastMs < gone.lastMs) {
          gone = stream;
        }
      }
      forget(gone);
    }
    streams.put(id, new Stream(customer, id, after, own, nowMs));
    seen = seen.with(id, after);
    return gone;
  }

  /** Puts a notice in the order of this front door's readers. */
  void list(Notice notice, long nowMs) {
    seen = seen.with(notice.stream(), notice.seq());
    add(new Entry(nowMs, notice.stream(), notice.seq(), notice.seq(), notice, seen), nowMs);
  }

  /**
   * Puts a gap there.
   *
   * @param to its last count, or {@link Entry#OPEN}
   */
  void gap(Stream stream, long to, long nowMs) {
    long from = stream.last() + 1;
    if (to != Entry.OPEN) {
      stream.skipTo(to);
      seen = seen.with(stream.id, to);
    }
    add(new Entry(nowMs, stream.id, from, to, null, seen), nowMs);
  }

  private void add(Entry entry, long nowMs) {
    order.add(entry);
    bytes += entry.cost();
    evict(nowMs);
  }

  void evict(long nowMs) {
    while (!order.isEmpty()
        && (bytes > limits.retainBytes()
            || nowMs - order.get(order.first()).atMs() > limits.retainMs())) {
      evictOldest();
    }
  }

  /** Lets go of the oldest event, where there is one. */
  void evictOldest() {
    if (order.isEmpty()) {
      return;
    }
    Entry entry = order.removeFirst();
    bytes -= entry.cost();
    for (int i = 0; i < entry.after().size(); i++) {
      dropped = dropped.with(entry.after().id(i), entry.after().count(i));
    }
    for (int i = 0; i < dropped.size() && dropped.size() > 2 * Position.MAX_STREAMS; i++) {
      // Of a stream that is forgotten; whoever still reads it is a minute behind at least.
      dropped = streams.containsKey(dropped.id(i)) ? dropped : dropped.without(dropped.id(i));
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
      if (nowMs - stream.lastMs > after && stream.last() < stream.first()) {
        idle.add(stream);
      }
    }
    idle.forEach(this::forget);
    return idle;
  }

  private void forget(Stream stream) {
    streams.remove(stream.id);
    seen = seen.without(stream.id);
  }

  /** The number of the oldest event held. */
  long first() {
    return order.first();
  }

  /** The number that the next event gets. */
  long end() {
    return order.end();
  }

  Entry get(long number) {
    return order.get(number);
  }

  /** How far a reader is that has had all. */
  Position seen() {
    return seen;
  }

  /** How far a reader is that has had all that is not held any more. */
  Position dropped() {
    return dropped;
  }

  long bytes() {
    return bytes;
  }

  /**
   * A reader has come.
   *
   * @param resume from where, null where it begins now
   */
  void reader(Position resume, long nowMs) {
    if (readersMs < 0) {
      readersMs = nowMs;
    }
    if (resume != null) {
      needed = needed == null ? resume : needed.least(resume);
    }
  }

  /** The last reader has gone. */
  void noReaders() {
    readersMs = -1;
    needed = null;
  }

  boolean hasReaders() {
    return readersMs >= 0;
  }

  /** What to ask for of a stream that is offered for the first time. */
  PeerMessage.Want want(StreamId id, boolean keeper, long nowMs) {
    if (keeper) {
      return new PeerMessage.Want(id, 0, PeerMessage.Want.NO_MATTER);
    }
    long after = needed == null ? PeerMessage.Want.NO_MATTER : needed.of(id);
    return new PeerMessage.Want(id, after, nowMs - readersMs);
  }
}
