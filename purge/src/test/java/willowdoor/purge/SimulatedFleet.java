package willowdoor.purge;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Gateways on a simulated clock, with a network between them that can delay, lose, duplicate and
 * block datagrams.
 */
final class SimulatedFleet {
  private record InFlight(long at, long order, int from, int to, byte[] datagram) {}

  interface Cut {
    boolean between(int from, int to);
  }

  final Fleet fleet;
  final List<PurgeNode<Object>> nodes = new ArrayList<>();
  final Random random;

  /** By gateway: the time until which it is stopped, and the rate of its clock in thousandths. */
  final long[] stoppedUntil;

  final int[] rates;
  private final PriorityQueue<InFlight> network =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(InFlight::at).thenComparingLong(InFlight::order));
  Cut cut = (from, to) -> false;
  double loss;
  int jitterMs = 1;
  long now = 1_000;
  long sent;
  int largest;

  SimulatedFleet(int gateways, int acceptors, long boundMs, long seed) {
    List<Integer> members = IntStream.range(0, gateways).boxed().toList();
    fleet = new Fleet(members, members.subList(0, acceptors), Timing.of(boundMs));
    random = new Random(seed);
    stoppedUntil = new long[gateways];
    rates = new int[gateways];
    for (int gateway = 0; gateway < gateways; gateway++) {
      rates[gateway] = 1_000;
      nodes.add(null);
      restart(gateway);
    }
  }

  void restart(int gateway) {
    PurgeNode.Settings settings = new PurgeNode.Settings(fleet, "test", gateway, 1_000_000, 60_000);
    nodes.set(
        gateway,
        new PurgeNode<>(
            settings,
            random,
            () -> now * rates[gateway] / 1_000,
            (to, datagram) -> send(gateway, to, datagram),
            answer -> 100));
  }

  private void send(int from, int to, byte[] datagram) {
    sent++;
    largest = Math.max(largest, datagram.length);
    while (random.nextDouble() >= loss) {
      network.add(new InFlight(now + 1 + random.nextInt(jitterMs), sent, from, to, datagram));
      if (loss == 0 || random.nextDouble() >= 0.05) {
        return;
      }
    }
  }

  /**
   * Delivers the datagrams one after the other, and calls tick on the gateways that are not
   * stopped.
   */
  void run(long ms) {
    for (long end = now + ms; now < end; now++) {
      while (!network.isEmpty() && network.peek().at <= now) {
        InFlight packet = network.poll();
        if (cut.between(packet.from, packet.to)) {
          continue;
        }
        if (now < stoppedUntil[packet.to]) {
          network.add(
              new InFlight(
                  stoppedUntil[packet.to], packet.order, packet.from, packet.to, packet.datagram));
        } else {
          nodes.get(packet.to).onDatagram(packet.from, packet.datagram);
        }
      }
      for (int gateway = 0; gateway < nodes.size(); gateway++) {
        if (now >= stoppedUntil[gateway] && now % PurgeNode.TICK_MS == 0) {
          nodes.get(gateway).tick();
        }
      }
    }
  }

  /** Runs until the silence of the acceptors is over and all gateways hold leases. */
  SimulatedFleet warmUp() {
    run(fleet.timing().keepMs() + 2 * fleet.timing().renewMs());
    return this;
  }

  /** Requests a purge and waits for its outcome; {@link Call#ms} is the time that this took. */
  Call purge(int gateway, String key, String prefix, long timeoutMs) {
    Call call = start(gateway, key, prefix, timeoutMs);
    while (call.outcome == null) {
      run(1);
    }
    return call;
  }

  Call start(int gateway, String key, String prefix, long timeoutMs) {
    Call call = new Call(now, prefix);
    nodes.get(gateway).purge(PurgeId.of("c", key), new Scope("c", prefix), timeoutMs, call::answer);
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
