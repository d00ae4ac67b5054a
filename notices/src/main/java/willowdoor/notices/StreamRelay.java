package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Holds the streams of a front door, its own and those relayed by peers, and decides to which peers
 * a stream is relayed.
 */
final class StreamRelay {
  private static final int FETCH_BYTES = 64 * 1024;

  /** Notified when events were added to a customer's order or a fetch was answered. */
  interface Listener {
    void appended(long customer, long bytes, long nowMs);

    void fetched(long customer, PeerMessage.Fetched answer, long nowMs);
  }

  private final ReplicaHolder self;
  private final Limits limits;
  private final Interest interest;
  private final Consumer<Effect> effects;
  private final Listener listener;
  private final Map<Long, RetainedNotices> byCustomer = new HashMap<>();
  private final Map<StreamId, Stream> streams = new HashMap<>();
  private final Map<Integer, PeerLink> links = new TreeMap<>();
  private FleetView view = FleetView.none();

  StreamRelay(
      ReplicaHolder self,
      Limits limits,
      Interest interest,
      Consumer<Effect> effects,
      Listener listener) {
    this.self = self;
    this.limits = limits;
    this.interest = interest;
    this.effects = effects;
    this.listener = listener;
  }

  /** Returns the retained notices of a customer, or null if no further customer can be added. */
  RetainedNotices retained(long customer) {
    RetainedNotices retained = byCustomer.get(customer);
    if (retained == null && byCustomer.size() < Limits.MAX_CUSTOMERS) {
      retained = new RetainedNotices(customer, limits);
      byCustomer.put(customer, retained);
    }
    return retained;
  }

  /**
   * Opens a stream here.
   *
   * @param after notices up to this count are not available here
   */
  Stream open(RetainedNotices retained, StreamId id, long after, boolean own, long nowMs) {
    forget(retained.open(id, after, own, nowMs));
    Stream stream = retained.stream(id);
    streams.put(id, stream);
    return stream;
  }

  private void forget(Stream stream) {
    if (stream != null) {
      streams.remove(stream.id);
      links.values().forEach(link -> link.drop(stream.id));
    }
  }

  Stream stream(StreamId id) {
    return streams.get(id);
  }

  FleetView view() {
    return view;
  }

  void view(FleetView now, long nowMs) {
    view = now;
    for (Stream stream : new ArrayList<>(streams.values())) {
      boolean originAlive = stream.own || view.alive(stream.id.member(), stream.id.generation());
      stream.originLostMs =
          originAlive ? -1 : stream.originLostMs < 0 ? nowMs : stream.originLostMs;
      stream.endKnown &= !originAlive;
      stream.endConfirmed &= !originAlive;
      updatePeers(stream, nowMs);
    }
    for (int peer : new ArrayList<>(links.keySet())) {
      if (view.member(peer) == null) {
        disconnect(peer);
      }
    }
  }

  /** Handles a change of the interest in these customers. */
  void interestChanged(Set<Long> customers, long nowMs) {
    for (long customer : customers) {
      RetainedNotices retained = byCustomer.get(customer);
      if (retained != null) {
        new ArrayList<>(retained.streams()).forEach(stream -> updatePeers(stream, nowMs));
      }
    }
  }

  /** Offers a stream to each peer that needs the stream, and stops relaying it to the others. */
  void updatePeers(Stream stream, long nowMs) {
    // If the replica holder is gone too, every front door that holds the stream relays it: a
    // member that joins later may not have the stream.
    boolean replacesOrigin =
        stream.originLostMs >= 0
            && (stream.replicaHolder.equals(self) || !stream.replicaHolder.isAlive(view));
    boolean holderChanged = stream.own && chooseReplicaHolder(stream);
    for (FleetView.Member member : view.members()) {
      int peer = member.number();
      boolean shouldReceive =
          peer != self.member()
              && (stream.own || replacesOrigin)
              && (interest.hasReaders(peer, stream.customer)
                  || stream.own && stream.replicaHolder.member() == peer);
      PeerLink link = links.get(peer);
      if (shouldReceive && (link == null || !link.hasStream(stream.id) || holderChanged)) {
        link(peer, nowMs).offer(stream, nowMs);
      } else if (!shouldReceive && link != null) {
        link.drop(stream.id);
      }
    }
  }

  /**
   * Chooses the replica holder of a stream. The current holder stays while its process is alive.
   *
   * @return whether the holder changed
   */
  private boolean chooseReplicaHolder(Stream stream) {
    if (stream.replicaHolder.isAlive(view)) {
      return false;
    }
    ReplicaHolder best = ReplicaHolder.NONE;
    for (FleetView.Member member : view.members()) {
      int number = member.number();
      if (number != self.member()
          && (best.member() < 0 || isBetterHolder(number, best.member(), stream.customer))) {
        best = new ReplicaHolder(number, member.generation());
      }
    }
    boolean changed = !best.equals(stream.replicaHolder);
    stream.replicaHolder = best;
    return changed;
  }

  private boolean isBetterHolder(int one, int other, long customer) {
    boolean oneReads = interest.hasReaders(one, customer);
    return oneReads == interest.hasReaders(other, customer)
        ? Long.compareUnsigned(
                SlowReaderPlacement.score(one, customer),
                SlowReaderPlacement.score(other, customer))
            > 0
        : oneReads;
  }

  private PeerLink link(int peer, long nowMs) {
    PeerLink link = links.get(peer);
    if (link == null) {
      link = new PeerLink(peer, self, limits, effects, nowMs);
      links.put(peer, link);
      effects.accept(new Effect.Connect(peer));
    }
    return link;
  }

  void linkUp(int peer, long nowMs) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.up(nowMs);
    }
  }

  void linkDown(int peer) {
    PeerLink link = links.get(peer);
    if (link != null) {
      link.down();
    }
  }

  /** Handles further notices of an own stream that its replica holder or all peers can get. */
  void moreAvailable(Stream stream, long nowMs) {
    for (PeerLink link : links.values()) {
      link.moreAvailable(stream.id, nowMs);
    }
  }

  /**
   * Requests a range that a reader lacks from a front door that may hold it.
   *
   * @return false if no such front door is alive. A request that is lost must be repeated
   */
  boolean fetch(IndividualDelivery.MissingRange range, long nowMs) {
    Stream stream = streams.get(range.stream());
    int from =
        view.alive(range.stream().member(), range.stream().generation())
            ? range.stream().member()
            : stream == null || !stream.replicaHolder.isAlive(view)
                ? -1
                : stream.replicaHolder.member();
    if (from == self.member() || view.member(from) == null) {
      return false;
    }
    PeerLink link = link(from, nowMs);
    link.markNeeded(nowMs);
    if (link.isUp()) {
      link.send(new PeerMessage.Fetch(range.stream(), range.from() - 1, range.to()));
    }
    return true;
  }

  PeerMessage.Fetched answer(PeerMessage.Fetch fetch) {
    Stream stream = streams.get(fetch.stream());
    long upTo =
        stream == null ? 0 : Math.min(fetch.upTo(), stream.own ? stream.committed : stream.last());
    if (stream == null || upTo <= fetch.after() || stream.first() > upTo) {
      return new PeerMessage.Fetched(fetch.stream(), fetch.after(), fetch.upTo(), List.of());
    }
    long from = Math.max(fetch.after() + 1, stream.first());
    List<Notice> notices = new ArrayList<>();
    int bytes = 0;
    for (long seq = from; seq <= upTo && bytes < FETCH_BYTES; seq++) {
      notices.add(stream.get(seq));
      bytes += stream.get(seq).cost();
    }
    long gapTo = from > fetch.after() + 1 ? from - 1 : 0;
    return new PeerMessage.Fetched(fetch.stream(), fetch.after(), gapTo, notices);
  }

  PeerLink linkTo(int peer) {
    return links.get(peer);
  }

  /**
   * Returns the peers that have left notices unconfirmed for over a second, because the link or the
   * peer is slow.
   */
  List<Integer> slowLinks(long nowMs) {
    List<Integer> slow = new ArrayList<>();
    links.forEach(
        (peer, link) -> {
          if (link.isSlow(nowMs)) {
            slow.add(peer);
          }
        });
    return slow;
  }

  /**
   * Runs the periodic work: eviction, the end of streams whose origin is gone, and the closing of
   * idle links.
   */
  void tick(long nowMs) {
    long bytes = 0;
    for (RetainedNotices retained : new ArrayList<>(byCustomer.values())) {
      retained.evict(nowMs);
      bytes += retained.bytes();
      retained.forgetIdle(nowMs).forEach(this::forget);
      if (retained.streams().isEmpty() && !retained.hasReaders()) {
        byCustomer.remove(retained.customer);
      }
    }
    trim(bytes);
    for (Stream stream : new ArrayList<>(streams.values())) {
      RetainedNotices retained = byCustomer.get(stream.customer);
      if (stream.originLostMs >= 0
          && !stream.endKnown
          && !stream.replicaHolder.equals(self)
          && (nowMs - stream.originLostMs >= Limits.END_WAIT_MS
              || !stream.replicaHolder.isAlive(view))) {
        stream.endKnown = true;
        if (retained.hasReaders()) {
          retained.gap(stream, Entry.OPEN_ENDED, nowMs);
          listener.appended(stream.customer, Notice.OVERHEAD, nowMs);
        }
      }
    }
    for (int peer : new ArrayList<>(links.keySet())) {
      if (links.get(peer).isIdle(nowMs)) {
        disconnect(peer);
      }
    }
  }

  private void disconnect(int peer) {
    links.remove(peer);
    effects.accept(new Effect.Disconnect(peer));
  }

  private void trim(long held) {
    long bytes = held;
    while (bytes > limits.totalBytes()) {
      RetainedNotices largest = null;
      for (RetainedNotices retained : byCustomer.values()) {
        largest = largest == null || retained.bytes() > largest.bytes() ? retained : largest;
      }
      long before = largest.bytes();
      // Evict a sixteenth at once, so that the customers are not scanned for each notice.
      while (largest.bytes() > before - before / 16 - 1 && largest.bytes() > 0) {
        largest.evictOldest();
      }
      if (largest.bytes() == before) {
        return;
      }
      bytes -= before - largest.bytes();
    }
  }
}
