package elmsail.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.lab.fleet.Loopback;

/** The accounts of a run, and the servers and the platform that are outside of the tier. */
final class StandIns implements AutoCloseable {
  private static final int SERVERS = 3;

  final JobAccount jobs;
  final QuotaAccount quota;
  final RequestAccount requests;
  final ConfigAccount configs;
  final BatchClient batch;
  final List<InetSocketAddress> fronts = new ArrayList<>();
  final Map<String, InetSocketAddress> controls = new LinkedHashMap<>();
  final Map<String, InetSocketAddress> ready = new LinkedHashMap<>();
  private final List<ModelServer> servers = new ArrayList<>();
  private final PlatformList platform;

  StandIns(Topology topology, Findings findings, TroubleLog troubles, SoakClock clock)
      throws IOException {
    jobs = new JobAccount(findings, troubles, SoakConfig.HOST, SoakConfig.TRIES);
    quota = new QuotaAccount(findings, troubles, SoakConfig.limits());
    requests = new RequestAccount(findings);
    configs = new ConfigAccount(findings);
    Map<String, String> machines = new HashMap<>();
    Map<String, InetSocketAddress> clients = new LinkedHashMap<>();
    for (Machine machine : topology.machines()) {
      machines.put(topology.ip(machine), machine.name());
      if (!machine.vault()) {
        InetSocketAddress front = topology.address(machine, Topology.FRONT_PORT);
        fronts.add(front);
        clients.put(machine.name(), front);
        controls.put(machine.name(), topology.address(machine, Topology.CONTROL_PORT));
        ready.put(machine.name(), topology.address(machine, Topology.READY_PORT));
      }
    }
    batch = new BatchClient(jobs, quota, clients, clock);
    ServerWitness witness = new ServerWitness(clock, jobs, quota, requests, machines, findings);
    Map<String, String> listed = new LinkedHashMap<>();
    for (int i = 1; i <= SERVERS; i++) {
      String id = "i-server-" + i;
      servers.add(new ModelServer(id, topology.server(i), witness));
      listed.put(id, Loopback.text(topology.server(i)));
    }
    platform = new PlatformList(topology.platform(), SoakConfig.SERVICE, listed);
  }

  @Override
  public void close() throws IOException {
    for (ModelServer server : servers) {
      server.close();
    }
    platform.close();
  }
}
