package willowdoor.purge;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Front doors on a hand-moved clock, with a network between them that can delay, lose, double and
 * cut.
 */
final class SimulatedFleet {
  private record Flying(long at, long order, int from, int to, byte[] datagram) {}

  interface Cut {
    boolean between(int from, int to);
  }

  final Fleet fleet;
  final List<PurgeNode<Object>> nodes = new ArrayList<>();
  final Random random;

  /** By door: until when it is stopped, and how fast its clock goes, in thousandths. */
  final long[] stoppedUntil;

  final int[] rates;
  private final PriorityQueue<Flying> net =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Flying::at).thenComparingLong(Flying::order));
  Cut cut = (from, to) -> false;
  double loss;
  int jitterMs = 1;
  long now = 1_000;
  long sent;
  int largest;

  SimulatedFleet(int doors, int keepers, long boundMs, long seed) {
    List<Integer> members = IntStream.range(0, doors).boxed().toList();
    fleet = new Fleet(members, members.subList(0, keepers), Timing.of(boundMs));
    random = new Random(seed);
    stoppedUntil = new long[doors];
    rates = new int[doors];
    for (int door = 0; door < doors; door++) {
      rates[door] = 1_000;
      nodes.add(null);
      restart(door);
    }
  }

  void restart(int door) {
    PurgeNode.Settings settings = new PurgeNode.Settings(fleet, "test", door, 1_000_000, 60_000);
    nodes.set(
        door,
        new PurgeNode<>(
            settings,
            random,
            () -> now * rates[door] / 1_000,
            (to, datagram) -> send(door, to, datagram),
            answer -> 100));
  }

  private void send(int from, int to, byte[] datagram) {
    sent++;
    largest = Math.max(largest, datagram.length);
    while (random.nextDouble() >= loss) {
      net.add(new Flying(now + 1 + random.nextInt(jitterMs), sent, from, to, datagram));
      if (loss == 0 || random.nextDouble() >= 0.05) {
        return;
      }
    }
  }

  /** One datagram after the other, and ticks of those that are not stopped. */
  void run(long ms) {
    for (long end = now + ms; now < end; now++) {
      while (!net.isEmpty() && net.peek().at <= now) {
        Flying one = net.poll();
        if (cut.between(one.from, one.to)) {
          continue;
        }
        if (now < stoppedUntil[one.to]) {
          net.add(new Flying(stoppedUntil[one.to], one.order, one.from, one.to, one.datagram));
        } else {
          nodes.get(one.to).onDatagram(one.from, one.datagram);
        }
      }
      for (int door = 0; door < nodes.size(); door++) {
        if (now >= stoppedUntil[door] && now % PurgeNode.TICK_MS == 0) {
          nodes.get(door).tick();
        }
      }
    }
  }

  /** Runs until keepers have been silent and all doors hold leases. */
  SimulatedFleet warm() {
    run(fleet.timing().keepMs() + 2 * fleet.timing().renewMs());
    return this;
  }

  /** Calls for a purge and waits for its answer; how long that took is {@link Call#ms}. */
  Call purge(int door, String key, String prefix, long timeoutMs) {
    Call call = start(door, key, prefix, timeoutMs);
    while (call.outcome == null) {
      run(1);
    }
    return call;
  }

  Call start(int door, String key, String prefix, long timeoutMs) {
    Call call = new Call(now, prefix);
    nodes.get(door).purge(PurgeId.of("c", key), new Scope("c", prefix), timeoutMs, call::answer);
    return call;
  }

  final class Call {
    final long taken;
    private final String prefix;
    long ms;
    Outcome outcome;

    Call(long taken, String prefix) {
      this.taken = taken;
      this.prefix = prefix;
    }

    boolean covers(String target) {
      return target.startsWith(prefix);
    }

    void answer(Outcome answer) {
      if (outcome != null) {
        throw new AssertionError("answered twice");
      }
      outcome = answer;
      ms = now - taken;
    }
  }
}
