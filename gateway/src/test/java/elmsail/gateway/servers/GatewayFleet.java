package elmsail.gateway.servers;

import elmsail.config.ServerEntry;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.load.LoadExchange;
import elmsail.rpc.messages.LoadReport;
import elmsail.runtime.Counters;
import elmsail.runtime.ManualTimers;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Gateways in three zones in front of simulated servers that report no load; every third server is
 * slower. The gateways use the production server selection. All run on one clock that the test
 * advances.
 */
final class GatewayFleet {
  static final int ZONES = 3;
  static final int GATEWAYS_PER_ZONE = 8;
  static final int SERVERS_PER_ZONE = 5;
  static final int SLOTS = 8;
  static final double TOKENS_PER_MS = 100;
  private static final int MAX_QUEUED = 12;
  private static final double SLOW_SERVER_FACTOR = 1.3;
  private static final long DATAGRAM_DELAY_MS = 1;
  private static final long WARM_UP_MS = 2_000;

  final ManualTimers timers = new ManualTimers();
  final Map<String, SimulatedServer> simulatedServers = new HashMap<>();
  final List<Servers> gateways = new ArrayList<>();
  final SplittableRandom random;
  private final FakeClusterState clusterState = new FakeClusterState();
  private final Map<String, LoadExchange> exchanges = new HashMap<>();

  /**
   * @param random source of random numbers for the fleet and its traffic
   * @param sharesLoads whether the gateways exchange their loads
   */
  GatewayFleet(EventLoop loop, SplittableRandom random, boolean sharesLoads) {
    this(loop, random, sharesLoads, GATEWAYS_PER_ZONE);
  }

  /**
   * @param gatewaysPerZone number of gateways in each zone
   */
  GatewayFleet(EventLoop loop, SplittableRandom random, boolean sharesLoads, int gatewaysPerZone) {
    this.random = random;
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < ZONES * SERVERS_PER_ZONE; i++) {
      String id = "i-" + i;
      entries.add(new ServerEntry(id, "s", "127.0.0.1:1", "z" + i % ZONES, SLOTS, false, 0));
      simulatedServers.put(id, new SimulatedServer(timers, SLOTS, MAX_QUEUED, slowdownFactor(i)));
    }
    clusterState.servers = entries;
    for (int g = 0; g < ZONES * gatewaysPerZone; g++) {
      clusterState.view.gateways.add("g" + g + ":1");
    }
    for (int g = 0; g < ZONES * gatewaysPerZone; g++) {
      gateways.add(gateway(loop, "g" + g + ":1", "z" + g % ZONES, sharesLoads));
    }
    timers.advance(WARM_UP_MS);
  }

  private static double slowdownFactor(int server) {
    return server % 3 == 0 ? SLOW_SERVER_FACTOR : 1;
  }

  private Servers gateway(EventLoop loop, String address, String zone, boolean sharesLoads) {
    RequestCounters counters = new RequestCounters(new Counters());
    Servers servers = new Servers(timers, loop, clusterState, zone, counters, random.split());
    if (sharesLoads) {
      LoadExchange exchange =
          new LoadExchange(
              timers,
              clusterState,
              address,
              zone,
              random.nextLong(),
              servers::ownLoads,
              this::deliver,
              new Counters());
      exchanges.put(address, exchange);
      servers.setPeerLoads(exchange, exchange::onLoadChanged);
      exchange.start();
    }
    return servers;
  }

  private void deliver(String to, LoadReport report) {
    timers.schedule(DATAGRAM_DELAY_MS, () -> exchanges.get(to).onReport(report));
  }

  /** A random gateway, such as a load balancer would assign to a client connection. */
  Servers randomGateway() {
    return gateways.get(random.nextInt(gateways.size()));
  }

  /**
   * Maximum requests per second: at this rate either all slots are occupied or all servers are
   * always busy with prefill.
   *
   * @param tokens mean number of tokens of a prompt
   * @param decodeMs mean time from the first token to the last
   */
  static double capacityPerSecond(int tokens, int decodeMs) {
    double totalSpeed = 0;
    for (int i = 0; i < ZONES * SERVERS_PER_ZONE; i++) {
      totalSpeed += 1 / slowdownFactor(i);
    }
    double prefillMs = tokens / TOKENS_PER_MS;
    double prefillLimit = 1_000 / prefillMs;
    double slotLimit = SLOTS * 1_000.0 / (prefillMs + decodeMs);
    return totalSpeed * Math.min(prefillLimit, slotLimit);
  }
}
