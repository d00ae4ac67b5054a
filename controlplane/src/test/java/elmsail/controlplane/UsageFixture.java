package elmsail.controlplane;

import elmsail.config.watch.ClockExchange;
import elmsail.config.watch.ConfigWatcher;
import elmsail.gateway.usage.UsageMeter;
import elmsail.runtime.Settings;
import elmsail.simulation.SimNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** A cluster of control-plane nodes, gateways with random traffic, and a simulated platform. */
final class UsageFixture {
  static final long WINDOW_MS = 5_000;
  static final long MAX_REPORT_DELAY_MS = 10_000;
  private static final long TRAFFIC_INTERVAL_MS = 50;
  private static final List<String> TENANTS = List.of("kaje80", "vopu11", "with \"quote\\");

  final SimulatedCluster cluster;
  final SimulatedDutyPlatform platform;
  final Random random;
  final int nodes;
  private final int gateways;
  private final Map<Long, Map<String, Long>> startedRequests = new TreeMap<>();
  private final Map<String, SimNode> gatewayNodes = new HashMap<>();
  private long nextInstanceId = 1;
  boolean hasTraffic = true;

  UsageFixture(long seed, int nodes, int gateways) {
    this.nodes = nodes;
    this.gateways = gateways;
    random = new Random(seed * 7 + 1);
    cluster = new SimulatedCluster(seed, nodes, (nodes - 1) / 2);
    cluster.dutyCallsPerSecond = 50;
    cluster.usageWindowMs = WINDOW_MS;
    platform = cluster.dutyPlatform;
  }

  void start() {
    for (int i = 1; i <= nodes; i++) {
      cluster.clockSkewMs.put("n" + i, (long) random.nextInt(40) - 20);
      cluster.startControlPlane("n" + i, true);
    }
    for (int i = 1; i <= gateways; i++) {
      cluster.clockSkewMs.put("g" + i, (long) random.nextInt(40) - 20);
      startGateway("g" + i);
    }
  }

  /** Starts a gateway, or restarts it after its process was killed. */
  void startGateway(String name) {
    cluster.startGateway(name);
    SimNode node = cluster.nodes.get(name);
    ConfigWatcher watcher = cluster.gateways.get(name);
    gatewayNodes.put(name, node);
    ClockExchange exchange =
        new ClockExchange(
            node.rpcClient(),
            node.timers(),
            cluster.wallClock(name),
            () -> watcher.view().controlPlaneVoters,
            node.address());
    Settings settings = cluster.gatewaySettings(name);
    UsageMeter meter =
        new UsageMeter(
            node.rpcClient(),
            node.timers(),
            exchange.clusterClock(),
            () -> watcher.view().controlPlaneVoters,
            nextInstanceId++,
            settings.bounds());
    exchange.start();
    meter.start();
    runTraffic(node, meter);
  }

  private void runTraffic(SimNode node, UsageMeter meter) {
    node.timers()
        .schedule(
            1 + random.nextLong(2 * TRAFFIC_INTERVAL_MS),
            () -> {
              runTraffic(node, meter);
              if (hasTraffic) {
                String tenant = TENANTS.get(random.nextInt(TENANTS.size()));
                meter.onRequestStarted(tenant);
                startedRequests
                    .computeIfAbsent(currentWindow(), first -> new TreeMap<>())
                    .merge(tenant, 1L, Long::sum);
              }
            });
  }

  long currentWindow() {
    return Math.floorDiv(cluster.trueTimeMs(), WINDOW_MS);
  }

  /** The number of requests by tenant that started in that window of true time. */
  Map<String, Long> startedRequests(long window) {
    return startedRequests.getOrDefault(window, Map.of());
  }

  /**
   * Time in ms from the window's close to its acceptance by the platform; Long.MAX_VALUE if it was
   * not accepted.
   */
  long reportDelayMs(long window) {
    Long acceptedAtMs = platform.acceptedAtMs(window);
    return acceptedAtMs == null
        ? Long.MAX_VALUE
        : cluster.trueTimeMs() - (cluster.timers.now() - acceptedAtMs) - (window + 1) * WINDOW_MS;
  }

  String currentHolder() {
    for (Map.Entry<String, ControlPlaneNode> each : cluster.controlPlaneNodes.entrySet()) {
      if (each.getValue().leaseTerm() > 0 && isUp(each.getKey())) {
        return each.getKey();
      }
    }
    return null;
  }

  boolean isUp(String name) {
    return cluster.net.nodeAt(cluster.address(name)) != null;
  }
}
