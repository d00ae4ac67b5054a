package willowdoor.members;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Members on a hand-moved clock, and a network between them that delays, loses and cuts. */
final class ModelFleet {

  private static final long WALL_MS = 1_700_000_000_000L;

  /** Datagrams that a stopped process's socket holds. */
  private static final int SOCKET_HOLDS = 256;

  /** Whether the network takes a datagram. */
  interface Path {
    boolean open(int from, int to);
  }

  private record Event(long at, long order, Node to, byte[] datagram, Message message) {}

  /** One process. */
  final class Node implements Effects {
    final int place;
    final Counts counts = new Counts();
    final Codec codec;
    final Membership member;
    boolean dead;
    long stoppedUntil = -1;
    long wakesAt = Long.MAX_VALUE;
    final Deque<Event> held = new ArrayDeque<>();

    Node(int place, Timing timing, long wallMs) {
      this.place = place;
      codec = new Codec(roster, place, counts);
      member = new Membership(roster, place, timing, wallMs, random.split(), this, counts, now);
      wake();
    }

    @Override
    public void send(int to, Message message) {
      byte[] datagram = encodes ? codec.encode(message) : null;
      bytes += encodes ? datagram.length : 0;
      datagrams++;
      if (encodes && datagram.length > Sizes.DATAGRAM) {
        throw new IllegalStateException("a datagram of " + datagram.length);
      }
      if (!path.open(place, to) || random.nextDouble() < loss) {
        return;
      }
      for (Node node : nodes) {
        if (node.place == to && !node.dead) {
          events.add(
              new Event(now + 1 + random.nextInt(delayMs), order++, node, datagram, message));
        }
      }
    }

    @Override
    public void changed(Statement was, Statement is) {
      watcher.changed(this, was, is);
    }

    @Override
    public void cutOff(boolean cutOff) {}

    @Override
    public void twin(boolean superseded) {}

    void take(Event event) {
      if (dead) {
        return;
      }
      if (stoppedUntil > now) {
        if (event.datagram == null && event.message == null) {
          events.add(new Event(stoppedUntil, order++, this, null, null));
        } else if (held.size() < SOCKET_HOLDS) {
          held.add(event);
        }
        return;
      }
      // The worst order: its timers see how late it is before what came is read.
      if (!held.isEmpty() && member.nextWake() <= now) {
        member.tick(now);
      }
      while (!held.isEmpty()) {
        receive(held.remove());
      }
      if (event.message != null) {
        receive(event);
      } else {
        wakesAt = Long.MAX_VALUE;
        if (member.nextWake() <= now) {
          member.tick(now);
        }
      }
      wake();
    }

    private void receive(Event event) {
      try {
        member.receive(
            event.datagram == null
                ? event.message
                : codec.decode(
                    event.datagram, event.datagram.length, event.message.header().from()),
            now);
      } catch (Codec.Dropped e) {
        counts.add(e.reason);
      }
    }

    void wake() {
      if (member != null && member.nextWake() < wakesAt) {
        wakesAt = member.nextWake();
        events.add(new Event(Math.max(now, wakesAt), order++, this, null, null));
      }
    }

    MemberState of(int other) {
      return member.statement(other).state();
    }
  }

  /** Told of each change of each view. */
  interface Watcher {
    void changed(Node node, Statement was, Statement is);
  }

  final Roster roster;
  final Timing timing;
  final SplittableRandom random;
  final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long order;
  long now = 1_000;
  double loss;
  int delayMs = 2;
  Path path = (from, to) -> true;
  Watcher watcher = (node, was, is) -> {};
  long bytes;
  long datagrams;

  /** Off for thousands: messages are handed on as objects then, and bytes are not counted. */
  boolean encodes = true;

  ModelFleet(int size, long seed, Map<String, Object> timing) throws IOException {
    List<Roster.Peer> peers = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      peers.add(new Roster.Peer("n" + i, i, "10.0." + i / 250 + '.' + (1 + i % 250), 7_946));
    }
    roster = new Roster("model", 1, peers);
    this.timing = Timing.of(timing);
    random = new SplittableRandom(seed);
  }

  /** All started within a second, and in step. */
  static ModelFleet calm(int size, long seed) throws IOException {
    return calm(size, seed, Map.of());
  }

  static ModelFleet calm(int size, long seed, Map<String, Object> timing) throws IOException {
    ModelFleet fleet = new ModelFleet(size, seed, timing);
    for (int i = 0; i < size; i++) {
      fleet.start(i, 0);
      fleet.run(1_000 / size);
    }
    if (fleet.untilEqual(20_000) < 0) {
      throw new IllegalStateException("not in step at the start");
    }
    return fleet;
  }

  Node start(int place, long clockStepMs) {
    Node node = new Node(place, timing, WALL_MS + now + clockStepMs);
    nodes.add(node);
    return node;
  }

  void kill(int place) {
    nodes.removeIf(n -> n.place == place && (n.dead = true));
  }

  Node node(int place) {
    return nodes.stream().filter(n -> n.place == place).findFirst().orElseThrow();
  }

  void run(long ms) {
    long end = now + ms;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.remove();
      now = event.at;
      event.to.take(event);
    }
    now = end;
  }

  /**
   * Runs until all views are equal and all that live are alive there; the time, or -1 where it ran
   * out.
   */
  long untilEqual(long mostMs) {
    for (long t = 0; t <= mostMs; t += 20) {
      if (equal()) {
        return t;
      }
      run(20);
    }
    return -1;
  }

  boolean equal() {
    long digest = nodes.get(0).member.digest();
    return nodes.stream()
        .allMatch(
            n -> n.member.digest() == digest && nodes.get(0).of(n.place) == MemberState.ALIVE);
  }

  /** Runs until every other one holds the member for such; the time, or -1 where it ran out. */
  long untilAll(int member, MemberState state, long mostMs) {
    for (long t = 0; t <= mostMs; t += 20) {
      if (nodes.stream().allMatch(n -> n.place == member || n.of(member) == state)) {
        return t;
      }
      run(20);
    }
    return -1;
  }

  long count(Count count) {
    return nodes.stream().mapToLong(n -> n.counts.get(count)).sum();
  }

  /** The value that so large a share does not pass. */
  static long quantile(long[] values, double share) {
    long[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
  }
}
