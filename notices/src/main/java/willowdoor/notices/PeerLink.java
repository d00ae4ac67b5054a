package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends streams to one other front door and tracks how far each stream is sent. Nothing is queued:
 * notices are read from the retained streams when the peer has confirmed enough of the notices in
 * flight. After a reconnect, all streams are offered again.
 */
final class PeerLink {
  private static final long IDLE_MS = 30_000;
  private static final long SLOW_MS = 1_000;

  private record Sent(long seq, int cost, long atMs) {}

  private static final class Cursor {
    private final Stream stream;

    /** Next count to send, or -1 until the peer has requested the stream. */
    private long next = -1;

    private boolean endSent;
    private long offeredMs;
    private final ArrayDeque<Sent> unacknowledged = new ArrayDeque<>();

    private Cursor(Stream stream) {
      this.stream = stream;
    }
  }

  private final int peer;
  private final ReplicaHolder self;
  private final Limits limits;
  private final Consumer<Effect> effects;
  private final Map<StreamId, Cursor> cursors = new LinkedHashMap<>();

  /** Streams that may have notices to send, in round-robin order. */
  private final Set<Cursor> ready = new LinkedHashSet<>();

  private boolean up;
  private long unconfirmed;
  private long neededMs;

  PeerLink(int peer, ReplicaHolder self, Limits limits, Consumer<Effect> effects, long nowMs) {
    this.peer = peer;
    this.self = self;
    this.limits = limits;
    this.effects = effects;
    this.neededMs = nowMs;
  }

  boolean isUp() {
    return up;
  }

  boolean hasStream(StreamId id) {
    return cursors.containsKey(id);
  }

  /** Offers a stream to the peer, or announces a new replica holder. */
  void offer(Stream stream, long nowMs) {
    Cursor cursor = cursors.computeIfAbsent(stream.id, id -> new Cursor(stream));
    neededMs = nowMs;
    if (up) {
      cursor.offeredMs = nowMs;
      send(new PeerMessage.Offer(stream.customer, stream.id, replicaHolder(stream)));
    }
  }

  private ReplicaHolder replicaHolder(Stream stream) {
    return stream.own ? stream.replicaHolder : self;
  }

  void drop(StreamId id) {
    Cursor cursor = cursors.remove(id);
    if (cursor != null) {
      cursor.unacknowledged.forEach(sent -> unconfirmed -= sent.cost());
      ready.remove(cursor);
      sendReady(cursor.offeredMs);
    }
  }

  void up(long nowMs) {
    down();
    up = true;
    for (Cursor cursor : cursors.values()) {
      offer(cursor.stream, nowMs);
    }
  }

  /**
   * Resets all streams. Unconfirmed notices are sent again from the count that the peer requests.
   */
  void down() {
    up = false;
    unconfirmed = 0;
    ready.clear();
    for (Cursor cursor : cursors.values()) {
      cursor.next = -1;
      cursor.endSent = false;
      cursor.unacknowledged.clear();
    }
  }

  void onWant(PeerMessage.Want want, long nowMs) {
    Cursor cursor = cursors.get(want.stream());
    if (cursor == null || !up) {
      return;
    }
    cursor.unacknowledged.forEach(sent -> unconfirmed -= sent.cost());
    cursor.unacknowledged.clear();
    cursor.endSent = false;
    Stream stream = cursor.stream;
    if (want.ageMs() != PeerMessage.Want.UNSPECIFIED) {
      // The peer's first reader connected at most {@code ageMs} before the offer was sent,
      // whatever the network delay.
      long since = cursor.offeredMs - want.ageMs();
      long after = Math.min(stream.lastBefore(since), stream.sendable(peer));
      // If notices appended since then may have been removed, start at the last removed notice,
      // which is then reported as a gap.
      boolean lacks = stream.droppedMs() >= since && after == stream.first() - 1;
      after = lacks ? after - 1 : after;
      after = want.after() == PeerMessage.Want.UNSPECIFIED ? after : Math.min(after, want.after());
      send(new PeerMessage.Begin(stream.customer, stream.id, after, replicaHolder(stream)));
      cursor.next = after + 1;
    } else {
      cursor.next = want.after() + 1;
    }
    ready.add(cursor);
    sendReady(nowMs);
  }

  void onHave(PeerMessage.Have have, long nowMs) {
    Cursor cursor = cursors.get(have.stream());
    if (cursor == null) {
      return;
    }
    while (!cursor.unacknowledged.isEmpty() && cursor.unacknowledged.peek().seq() <= have.upTo()) {
      unconfirmed -= cursor.unacknowledged.remove().cost();
    }
    sendReady(nowMs);
  }

  /** Handles further notices of a stream. */
  void moreAvailable(StreamId id, long nowMs) {
    Cursor cursor = cursors.get(id);
    if (cursor != null && cursor.next >= 0) {
      ready.add(cursor);
      sendReady(nowMs);
    }
  }

  private void sendReady(long nowMs) {
    while (up && unconfirmed < limits.linkBytes() && !ready.isEmpty()) {
      Cursor cursor = ready.iterator().next();
      ready.remove(cursor);
      Stream stream = cursor.stream;
      if (cursor.next < stream.first() && cursor.next <= stream.sendable(peer)) {
        send(new PeerMessage.Gap(stream.id, stream.first() - 1));
        cursor.next = stream.first();
        ready.add(cursor);
      } else if (cursor.next <= stream.sendable(peer)) {
        Notice notice = stream.get(cursor.next++);
        send(new PeerMessage.Pass(notice));
        unconfirmed += notice.cost();
        cursor.unacknowledged.add(new Sent(notice.seq(), notice.cost(), nowMs));
        ready.add(cursor);
      } else if (!stream.own
          && !cursor.endSent
          && (stream.replicaHolder.equals(self) || stream.endConfirmed)) {
        cursor.endSent = true;
        send(new PeerMessage.End(stream.id, stream.last()));
      }
    }
  }

  void send(PeerMessage message) {
    effects.accept(new Effect.Send(peer, message));
  }

  /** Returns whether the peer has left a notice unconfirmed for over a second. */
  boolean isSlow(long nowMs) {
    for (Cursor cursor : cursors.values()) {
      if (!cursor.unacknowledged.isEmpty()
          && nowMs - cursor.unacknowledged.peek().atMs() > SLOW_MS) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the link has been unused for over 30 s. */
  boolean isIdle(long nowMs) {
    neededMs = cursors.isEmpty() ? neededMs : nowMs;
    return nowMs - neededMs > IDLE_MS;
  }

  /** Records that a fetch uses the link. */
  void markNeeded(long nowMs) {
    neededMs = nowMs;
  }

  long unconfirmed() {
    return unconfirmed;
  }
}
