package elmsail.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.lab.fleet.Loopback;

/** The history checkers of a run, and the fakes of what is outside: servers and platform. */
final class SoakEnvironment implements AutoCloseable {
  private static final int SERVERS = 3;

  final JobHistoryChecker jobs;
  final QuotaHistoryChecker quota;
  final RequestHistoryChecker requests;
  final ConfigHistoryChecker configs;
  final BatchClient batch;
  final List<InetSocketAddress> fronts = new ArrayList<>();
  final Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
  final Map<String, InetSocketAddress> ready = new LinkedHashMap<>();
  private final List<FakeModelServer> servers = new ArrayList<>();
  private final FakePlatform platform;

  SoakEnvironment(Topology topology, Findings findings, FaultHistory faults, SoakClock clock)
      throws IOException {
    jobs = new JobHistoryChecker(findings, faults, SoakConfig.HOST, SoakConfig.MAX_ATTEMPTS);
    quota = new QuotaHistoryChecker(findings, faults, SoakConfig.limits());
    requests = new RequestHistoryChecker(findings);
    configs = new ConfigHistoryChecker(findings);
    Map<String, String> machines = new HashMap<>();
    Map<String, InetSocketAddress> clients = new LinkedHashMap<>();
    for (Machine machine : topology.machines()) {
      machines.put(topology.ip(machine), machine.name());
      if (!machine.keepsJobs()) {
        InetSocketAddress front = topology.address(machine, Topology.FRONT_PORT);
        fronts.add(front);
        clients.put(machine.name(), front);
        controls.put(machine.name(), topology.address(machine, Topology.CONTROL_PORT));
        ready.put(machine.name(), topology.address(machine, Topology.READY_PORT));
      }
    }
    batch = new BatchClient(jobs, quota, clients, clock);
    ServerObserver observer = new ServerObserver(clock, jobs, quota, requests, machines, findings);
    Map<String, String> listed = new LinkedHashMap<>();
    for (int i = 1; i <= SERVERS; i++) {
      String id = "i-server-" + i;
      servers.add(new FakeModelServer(id, topology.server(i), observer));
      listed.put(id, Loopback.text(topology.server(i)));
    }
    platform = new FakePlatform(topology.platform(), SoakConfig.SERVICE, listed);
  }

  @Override
  public void close() throws IOException {
    for (FakeModelServer server : servers) {
      server.close();
    }
    platform.close();
  }
}
