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

/**
 * A simulated fleet on a manual clock, with a simulated network that delays and loses datagrams and
 * can be partitioned.
 */
final class ModelFleet {

  private static final long WALL_MS = 1_700_000_000_000L;

  /** Number of datagrams that the socket of a stopped process queues. */
  private static final int SOCKET_QUEUE_DATAGRAMS = 256;

  /** Decides whether the network delivers a datagram. */
  interface Network {
    boolean delivers(int from, int to);
  }

  private record Event(long at, long order, Node to, byte[] datagram, Message message) {}

  /** One process. */
  final class Node implements Effects {
    final int index;
    final Counts counts = new Counts();
    final Codec codec;
    final Membership member;
    boolean killed;
    long stoppedUntil = -1;
    long wakesAt = Long.MAX_VALUE;
    final Deque<Event> queued = new ArrayDeque<>();

    Node(int index, Timing timing, long wallMs) {
      this.index = index;
      codec = new Codec(roster, index, counts);
      member = new Membership(roster, index, timing, wallMs, random.split(), this, counts, now);
      scheduleWake();
    }

    @Override
    public void send(int to, Message message) {
      byte[] datagram = encodesMessages ? codec.encode(message) : null;
      bytes += encodesMessages ? datagram.length : 0;
      datagrams++;
      if (encodesMessages && datagram.length > EncodedSizes.MAX_DATAGRAM_BYTES) {
        throw new IllegalStateException("datagram exceeds the limit, bytes: " + datagram.length);
      }
      if (!network.delivers(index, to) || random.nextDouble() < loss) {
        return;
      }
      for (Node node : nodes) {
        if (node.index == to && !node.killed) {
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
    public void isolationChanged(boolean cutOff) {}

    @Override
    public void duplicateNameFound(boolean superseded) {}

    void process(Event event) {
      if (killed) {
        return;
      }
      if (stoppedUntil > now) {
        if (event.datagram == null && event.message == null) {
          events.add(new Event(stoppedUntil, order++, this, null, null));
        } else if (queued.size() < SOCKET_QUEUE_DATAGRAMS) {
          queued.add(event);
        }
        return;
      }
      // The worst order: after the stop, timers run before the queued datagrams are read.
      if (!queued.isEmpty() && member.nextWake() <= now) {
        member.tick(now);
      }
      while (!queued.isEmpty()) {
        receive(queued.remove());
      }
      if (event.message != null) {
        receive(event);
      } else {
        wakesAt = Long.MAX_VALUE;
        if (member.nextWake() <= now) {
          member.tick(now);
        }
      }
      scheduleWake();
    }

    private void receive(Event event) {
      try {
        member.receive(
            event.datagram == null
                ? event.message
                : codec.decode(
                    event.datagram, event.datagram.length, event.message.header().from()),
            now);
      } catch (Codec.DroppedDatagramException e) {
        counts.add(e.reason);
      }
    }

    void scheduleWake() {
      if (member != null && member.nextWake() < wakesAt) {
        wakesAt = member.nextWake();
        events.add(new Event(Math.max(now, wakesAt), order++, this, null, null));
      }
    }

    MemberState stateOf(int other) {
      return member.statement(other).state();
    }
  }

  /** Notified of each change in each view. */
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
  Network network = (from, to) -> true;
  Watcher watcher = (node, was, is) -> {};
  long bytes;
  long datagrams;

  /**
   * Disabled for fleets of thousands of members: messages are then passed on as objects, and bytes
   * are not counted.
   */
  boolean encodesMessages = true;

  ModelFleet(int size, long seed, Map<String, Object> timing) throws IOException {
    List<Roster.Peer> peers = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      peers.add(new Roster.Peer("n" + i, i, "10.0." + i / 250 + '.' + (1 + i % 250), 7_946));
    }
    roster = new Roster("model", 1, peers);
    this.timing = Timing.of(timing);
    random = new SplittableRandom(seed);
  }

  /** A fleet whose members all start within a second, run until all views are equal. */
  static ModelFleet converged(int size, long seed) throws IOException {
    return converged(size, seed, Map.of());
  }

  static ModelFleet converged(int size, long seed, Map<String, Object> timing) throws IOException {
    ModelFleet fleet = new ModelFleet(size, seed, timing);
    for (int i = 0; i < size; i++) {
      fleet.start(i, 0);
      fleet.run(1_000 / size);
    }
    if (fleet.runUntilViewsEqual(20_000) < 0) {
      throw new IllegalStateException("views are not equal 20 s after the start");
    }
    return fleet;
  }

  Node start(int index, long clockStepMs) {
    Node node = new Node(index, timing, WALL_MS + now + clockStepMs);
    nodes.add(node);
    return node;
  }

  void kill(int index) {
    nodes.removeIf(n -> n.index == index && (n.killed = true));
  }

  Node node(int index) {
    return nodes.stream().filter(n -> n.index == index).findFirst().orElseThrow();
  }

  void run(long ms) {
    long end = now + ms;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.remove();
      now = event.at;
      event.to.process(event);
    }
    now = end;
  }

  /**
   * Runs until all views are equal and contain every running member as alive. Returns the elapsed
   * time, or -1 after {@code maxMs}.
   */
  long runUntilViewsEqual(long maxMs) {
    for (long t = 0; t <= maxMs; t += 20) {
      if (viewsEqual()) {
        return t;
      }
      run(20);
    }
    return -1;
  }

  boolean viewsEqual() {
    long digest = nodes.get(0).member.digest();
    return nodes.stream()
        .allMatch(
            n -> n.member.digest() == digest && nodes.get(0).stateOf(n.index) == MemberState.ALIVE);
  }

  /**
   * Runs until every other member sees the member in the state. Returns the elapsed time, or -1
   * after {@code maxMs}.
   */
  long runUntilAllSee(int member, MemberState state, long maxMs) {
    for (long t = 0; t <= maxMs; t += 20) {
      if (nodes.stream().allMatch(n -> n.index == member || n.stateOf(member) == state)) {
        return t;
      }
      run(20);
    }
    return -1;
  }

  long count(Count count) {
    return nodes.stream().mapToLong(n -> n.counts.get(count)).sum();
  }

  /** The smallest value that at least the given share of the values does not exceed. */
  static long quantile(long[] values, double share) {
    long[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
  }
}
