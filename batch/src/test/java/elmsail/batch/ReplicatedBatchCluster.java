package elmsail.batch;

import elmsail.batch.api.BatchApi;
import elmsail.batch.store.JobStoreService;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.VoterSetSource;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.simulation.SimDisk;
import elmsail.simulation.SimNetwork;
import elmsail.simulation.SimNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Simulates gateways and stores with real replicas over simulated links and disks. One manual clock
 * and one seed determine the whole simulation, so that it is reproducible.
 */
final class ReplicatedBatchCluster {
  static final String VOTER_SET_NAME = "shelf";

  /** A store process and its disk; the disk survives a crash of the process. */
  final class StoreNode {
    final String address;
    final SimDisk disk;
    SimNode node;
    Replica replica;
    JobStoreService service;
    boolean up;

    StoreNode(int number) {
      address = "10.0.1." + number + ":7720";
      disk = new SimDisk(seed * 31 + number, timers);
    }

    void start() {
      up = true;
      node = net.startNode(address);
      service =
          new JobStoreService(
              node.timers(),
              () -> replica != null && replica.isVoting(),
              key -> replica.dropKey(key),
              120_000,
              ProcessMetrics.strict());
      replica =
          new Replica(
              new ReplicaIdentity(VOTER_SET_NAME, address, "st-" + address),
              disk.open(node.timers()),
              service,
              node.requestHandlers(),
              node.rpcClient(),
              node.timers(),
              ProcessMetrics.strict());
      service.registerHandlers(node.requestHandlers());
      service.start();
    }

    void kill(boolean wipeDisk) {
      up = false;
      net.kill(address);
      if (wipeDisk) {
        disk.wipe();
      }
    }
  }

  /** A gateway; each start creates a new incarnation with its own servers. */
  final class Gateway {
    final String address;
    SimNode node;
    BatchApi batchApi;
    SimServers servers;
    boolean up;

    Gateway(int number) {
      address = "10.0.2." + number + ":7720";
    }

    void start() {
      up = true;
      node = net.startNode(address);
      VoterSet[] knownVoterSet = {newestVoterSet()};
      RegisterClient register =
          new RegisterClient(
              VOTER_SET_NAME,
              node.rpcClient(),
              node.timers(),
              new VoterSetSource() {
                @Override
                public VoterSet current() {
                  return knownVoterSet[0];
                }

                @Override
                public void learn(VoterSet newer) {
                  knownVoterSet[0] = newer;
                }
              },
              random.nextLong(),
              address,
              other -> other.hashCode());
      batchApi =
          new BatchApi(
              register,
              node.rpcClient(),
              node.timers(),
              clusterState(knownVoterSet),
              new BatchSettings(address, 3_000, random.nextLong()),
              ProcessMetrics.strict());
      servers = new SimServers(timers);
      servers.capacity = 3;
      servers.serviceTimeMs = 700;
      servers.completedItemIds = completedItemIds;
      allServers.add(servers);
      batchApi.setServers(servers);
      batchApi.registerHandlers(node.requestHandlers());
      batchApi.start();
    }

    /** Crashes the gateway; its servers abort its runs. */
    void kill() {
      up = false;
      net.kill(address);
      servers.closeConnections();
    }
  }

  final long seed;
  final ManualTimers timers = new ManualTimers();
  final Random random;
  final SimNetwork net;
  final List<StoreNode> stores = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();

  /** The servers of all incarnations of all gateways. */
  final List<SimServers> allServers = new ArrayList<>();

  /** The ids of the items that any server has completed. */
  final Set<String> completedItemIds = new HashSet<>();

  final ClusterView view = new ClusterView();

  /** The configuration in force at all gateways. */
  SimConfig config;

  ReplicatedBatchCluster(long seed, int gatewayCount, long maxWaitingTokens) {
    this(seed, gatewayCount, maxWaitingTokens, 3);
  }

  ReplicatedBatchCluster(long seed, int gatewayCount, long maxWaitingTokens, int storeCount) {
    this.seed = seed;
    random = new Random(seed);
    net = new SimNetwork(seed, timers);
    config = new SimConfig(1, List.of(SimBatchCluster.route(maxWaitingTokens)));
    VoterSet initialVoterSet = new VoterSet();
    for (int i = 0; i < storeCount; i++) {
      StoreNode store = new StoreNode(i);
      stores.add(store);
      store.start();
      Voter voter = new Voter();
      voter.address = store.address;
      voter.machine = "st-" + store.address;
      voter.instanceId = store.disk.instanceId();
      voter.epoch = 1;
      initialVoterSet.voters.add(voter);
    }
    view.jobStoreVoters = initialVoterSet;
    stores.forEach(store -> store.replica.bootstrap(initialVoterSet));
    timers.advance(100);
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(new Gateway(i));
      view.gateways.add(gateways.get(i).address);
    }
    gateways.forEach(Gateway::start);
    distributeVoterSet();
  }

  /** Periodically distributes the newest voter set, in place of the watch at the control plane. */
  private void distributeVoterSet() {
    VoterSet newest = newestVoterSet();
    view.jobStoreVoters = newest;
    for (StoreNode store : stores) {
      if (store.up) {
        store.replica.learn(newest);
      }
    }
    timers.schedule(300, this::distributeVoterSet);
  }

  private VoterSet newestVoterSet() {
    VoterSet newest = view.jobStoreVoters;
    int highestEpochSum = epochSum(newest);
    for (StoreNode store : stores) {
      if (store.up && epochSum(store.replica.voterSet()) > highestEpochSum) {
        newest = store.replica.voterSet();
        highestEpochSum = epochSum(newest);
      }
    }
    return newest;
  }

  private static int epochSum(VoterSet voterSet) {
    int sum = 0;
    for (Voter voter : voterSet.voters) {
      sum += voter.epoch;
    }
    return sum;
  }

  private ClusterState clusterState(VoterSet[] voterSet) {
    return new ClusterState() {
      @Override
      public RoutingConfig config() {
        return config;
      }

      @Override
      public List<ServerEntry> servers() {
        return List.of();
      }

      @Override
      public long configConfirmedAgeMs() {
        return 0;
      }

      @Override
      public long serverListAgeMs() {
        return 0;
      }

      @Override
      public ClusterView view() {
        voterSet[0] =
            epochSum(view.jobStoreVoters) > epochSum(voterSet[0])
                ? view.jobStoreVoters
                : voterSet[0];
        return view;
      }

      @Override
      public void addListener(Runnable then) {}
    };
  }

  boolean allStoresVoting() {
    for (StoreNode store : stores) {
      if (!store.up || !store.replica.isVoting()) {
        return false;
      }
    }
    return true;
  }

  Route route() {
    return config.routeByName("r-lots");
  }

  CompletableFuture<BatchService.Reply> submit(Gateway gateway, String id, int items, long tokens) {
    return submit(TenantName.NONE, gateway, id, items, tokens);
  }

  CompletableFuture<BatchService.Reply> submit(
      TenantName tenant, Gateway gateway, String id, int items, long tokens) {
    return gateway.batchApi.submit(tenant, route(), id, JobJson.job(id, items, tokens), 3_000);
  }

  /**
   * Advances the clock until the reply is present, by at most 6 s. Returns null if there is no
   * reply by then, because the gateway has crashed.
   */
  BatchService.Reply await(CompletableFuture<BatchService.Reply> reply) {
    for (int i = 0; i < 6_000 && !reply.isDone(); i++) {
      timers.advance(1);
    }
    return reply.isDone() ? reply.join() : null;
  }
}
