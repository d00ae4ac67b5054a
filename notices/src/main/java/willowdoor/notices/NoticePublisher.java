package willowdoor.notices;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Publishes the notices that customers post to this front door. A call is answered with success
 * once a second front door holds the notice.
 */
final class NoticePublisher {
  private record Pending(long call, StreamId stream, long seq, long deadlineMs) {}

  private final int self;
  private final long generation;
  private final StreamRelay relay;
  private final Consumer<Effect> effects;
  private final StreamRelay.Listener listener;
  private final Map<Long, StreamId> ownStreams = new HashMap<>();
  private final ArrayDeque<Pending> pending = new ArrayDeque<>();
  private int serial;

  NoticePublisher(
      int self,
      long generation,
      StreamRelay relay,
      Consumer<Effect> effects,
      StreamRelay.Listener listener) {
    this.self = self;
    this.generation = generation;
    this.relay = relay;
    this.effects = effects;
    this.listener = listener;
  }

  /**
   * Accepts a notice.
   *
   * @param call number of the call for the {@link Effect.Answer}
   */
  void publish(long call, long customer, byte[] body, long nowMs) {
    RetainedNotices retained = relay.retained(customer);
    if (retained == null || pending.size() >= Limits.MAX_PENDING) {
      refuse(call, "too many notices are under way here");
      return;
    }
    Stream stream = stream(retained, customer, nowMs);
    if (stream.replicaHolder.member() < 0) {
      refuse(call, "no second front door is there to keep the notice");
      return;
    }
    Notice notice = new Notice(customer, stream.id, stream.last() + 1, body);
    stream.append(notice, nowMs);
    pending.add(new Pending(call, stream.id, notice.seq(), nowMs + Limits.CONFIRM_MS));
    relay.moreAvailable(stream, nowMs);
  }

  private void refuse(long call, String why) {
    effects.accept(new Effect.Answer(call, 503, null, why + "; nothing was kept, try again"));
  }

  private Stream stream(RetainedNotices retained, long customer, long nowMs) {
    StreamId id = ownStreams.get(customer);
    Stream stream = id == null ? null : relay.stream(id);
    // Other front doors forget a stream after twice this time, so a later notice gets a new
    // stream.
    if (stream == null || nowMs - stream.lastAppendMs > Limits.IDLE_STREAM_MS) {
      stream = relay.open(retained, new StreamId(self, generation, ++serial), 0, true, nowMs);
      ownStreams.put(customer, stream.id);
      relay.updatePeers(stream, nowMs);
    }
    return stream;
  }

  /**
   * Handles a peer's confirmation that it holds a stream up to a count. If the peer is the replica
   * holder, the notices up to the count are confirmed.
   */
  void onHave(int peer, PeerMessage.Have have, long nowMs) {
    Stream stream = relay.stream(have.stream());
    if (stream == null || !stream.own || stream.replicaHolder.member() != peer) {
      return;
    }
    long upTo = Math.min(have.upTo(), stream.last());
    if (upTo <= stream.committed) {
      return;
    }
    long bytes = 0;
    RetainedNotices retained = relay.retained(stream.customer);
    while (stream.committed < upTo) {
      Notice notice = stream.get(++stream.committed);
      bytes += notice.cost();
      retained.append(notice, nowMs);
    }
    for (Iterator<Pending> all = pending.iterator(); all.hasNext(); ) {
      Pending call = all.next();
      if (call.stream().equals(stream.id) && call.seq() <= upTo) {
        all.remove();
        effects.accept(new Effect.Answer(call.call(), 200, id(call), "published"));
      }
    }
    relay.moreAvailable(stream, nowMs);
    listener.appended(stream.customer, bytes, nowMs);
  }

  private static String id(Pending call) {
    return call.stream().text() + '.' + Long.toString(call.seq(), 36);
  }

  void tick(long nowMs) {
    while (!pending.isEmpty() && pending.peek().deadlineMs() <= nowMs) {
      Pending call = pending.remove();
      effects.accept(
          new Effect.Answer(
              call.call(),
              503,
              id(call),
              "not confirmed by a second front door yet; it may still come, under this id"));
    }
    ownStreams.values().removeIf(id -> relay.stream(id) == null);
  }

  int pending() {
    return pending.size();
  }
}
