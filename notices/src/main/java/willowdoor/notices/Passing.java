package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The streams that a front door holds: its own, and what others pass it; and to whom it passes them
 * on.
 */
final class Passing {
  private static final int FETCH_BYTES = 64 * 1024;

  /** Told when events have come into a customer's order, or a fetch was answered. */
  interface Watcher {
    void appended(long customer, long bytes, long nowMs);

    void fetched(long customer, PeerMessage.Fetched answer, long nowMs);
  }

  private final Keeper self;
  private final Limits limits;
  private final Interest interest;
  private final Consumer<Effect> effects;
  private final Watcher watcher;
  private final Map<Long, Retained> kept = new HashMap<>();
  private final Map<StreamId, Stream> streams = new HashMap<>();
  private final Map<Integer, PeerLink> links = new TreeMap<>();
  private FleetView view = FleetView.none();

  Passing(
      Keeper self, Limits limits, Interest interest, Consumer<Effect> effects, Watcher watcher) {
    this.self = self;
    this.limits = limits;
    this.interest = interest;
    this.effects = effects;
    this.watcher = watcher;
  }

  /** What is kept of a customer; null where there is no room for another. */
  Retained retained(long customer) {
    Retained retained = kept.get(customer);
    if (retained == null && kept.size() < Limits.MAX_CUSTOMERS) {
      retained = new Retained(customer, limits);
      kept.put(customer, retained);
    }
    return retained;
  }

  /**
   * Opens a stream here.
   *
   * @param after what came up to this count is not to be had here
   */
  Stream open(Retained retained, StreamId id, long after, boolean own, long nowMs) {
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
      boolean there = stream.own || view.alive(stream.id.member(), stream.id.generation());
      stream.orphanMs = there ? -1 : stream.orphanMs < 0 ? nowMs : stream.orphanMs;
      stream.ended &= !there;
      stream.complete &= !there;
      refresh(stream, nowMs);
    }
    for (int peer : new ArrayList<>(links.keySet())) {
      if (view.member(peer) == null) {
        disconnect(peer);
      }
    }
  }

  /** Interest in these customers has changed. */
  void interested(Set<Long> customers, long nowMs) {
    for (long customer : customers) {
      Retained retained = kept.get(customer);
      if (retained != null) {
        new ArrayList<>(retained.streams()).forEach(stream -> refresh(stream, nowMs));
      }
    }
  }

  /** Sees to it that a stream goes to those it concerns, and to nobody else. */
  void refresh(Stream stream, long nowMs) {
    // Where its keeper is gone too, all that hold it pass it on: whoever comes anew may know
    // nothing of it.
    boolean keeping =
        stream.orphanMs >= 0 && (stream.keeper.equals(self) || !stream.keeper.there(view));
    boolean renamed = stream.own && nameKeeper(stream);
    for (FleetView.Member member : view.members()) {
      int peer = member.number();
      boolean gets =
          peer != self.member()
              && (stream.own || keeping)
              && (interest.has(peer, stream.customer)
                  || stream.own && stream.keeper.member() == peer);
      PeerLink link = links.get(peer);
      if (gets && (link == null || !link.passes(stream.id) || renamed)) {
        link(peer, nowMs).offer(stream, nowMs);
      } else if (!gets && link != null) {
        link.drop(stream.id);
      }
    }
  }

  /**
   * Names who keeps a copy: stays with the one that does as long as it is there.
   *
   * @return whether it is another
   */
  private boolean nameKeeper(Stream stream) {
    if (stream.keeper.there(view)) {
      return false;
    }
    Keeper best = Keeper.NONE;
    for (FleetView.Member member : view.members()) {
      int number = member.number();
      if (number != self.member()
          && (best.member() < 0 || better(number, best.member(), stream.customer))) {
        best = new Keeper(number, member.generation());
      }
    }
    boolean changed = !best.equals(stream.keeper);
    stream.keeper = best;
    return changed;
  }

  private boolean better(int one, int other, long customer) {
    boolean oneReads = interest.has(one, customer);
    return oneReads == interest.has(other, customer)
        ? Long.compareUnsigned(Places.score(one, customer), Places.score(other, customer)) > 0
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

  /** An own stream has more, for its keeper or for all. */
  void more(Stream stream, long nowMs) {
    for (PeerLink link : links.values()) {
      link.more(stream.id, nowMs);
    }
  }

  /**
   * Asks who may have what a reader lacks.
   *
   * @return false where nobody is there; what is lost is to be asked again
   */
  boolean fetch(Alone.Lack lack, long nowMs) {
    Stream stream = streams.get(lack.stream());
    int from =
        view.alive(lack.stream().member(), lack.stream().generation())
            ? lack.stream().member()
            : stream == null || !stream.keeper.there(view) ? -1 : stream.keeper.member();
    if (from == self.member() || view.member(from) == null) {
      return false;
    }
    PeerLink link = link(from, nowMs);
    link.needed(nowMs);
    if (link.isUp()) {
      link.send(new PeerMessage.Fetch(lack.stream(), lack.from() - 1, lack.to()));
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
   * Peers that leave notices unconfirmed for over a second: the link to them is slow, or they are.
   */
  List<Integer> slowLinks(long nowMs) {
    List<Integer> slow = new ArrayList<>();
    links.forEach(
        (peer, link) -> {
          if (link.slow(nowMs)) {
            slow.add(peer);
          }
        });
    return slow;
  }

  /** What takes place with time alone. */
  void tick(long nowMs) {
    long bytes = 0;
    for (Retained retained : new ArrayList<>(kept.values())) {
      retained.evict(nowMs);
      bytes += retained.bytes();
      retained.forgetIdle(nowMs).forEach(this::forget);
      if (retained.streams().isEmpty() && !retained.hasReaders()) {
        kept.remove(retained.customer);
      }
    }
    trim(bytes);
    for (Stream stream : new ArrayList<>(streams.values())) {
      Retained retained = kept.get(stream.customer);
      if (stream.orphanMs >= 0
          && !stream.ended
          && !stream.keeper.equals(self)
          && (nowMs - stream.orphanMs >= Limits.END_WAIT_MS || !stream.keeper.there(view))) {
        stream.ended = true;
        if (retained.hasReaders()) {
          retained.gap(stream, Entry.OPEN, nowMs);
          watcher.appended(stream.customer, Notice.OVERHEAD, nowMs);
        }
      }
    }
    for (int peer : new ArrayList<>(links.keySet())) {
      if (links.get(peer).idle(nowMs)) {
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
    while (bytes > limits.doorBytes()) {
      Retained largest = null;
      for (Retained retained : kept.values()) {
        largest = largest == null || retained.bytes() > largest.bytes() ? retained : largest;
      }
      long before = largest.bytes();
      // A sixteenth at once, so this does not look at all customers for each notice.
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
