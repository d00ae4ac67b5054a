package elmsail.batch;

import elmsail.batch.api.BatchApi;
import elmsail.batch.store.JobRetention;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.Replica;
import elmsail.consensus.VoterSetSource;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.simulation.SimNode;
import elmsail.simulation.SimDisk;
import elmsail.simulation.SimNetwork;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Doors and stores as they are, over simulated links and disks, on one clock and one seed. */
final class JobStoreWorld {
  static final String SET = "shelf";

  /** A store's machine: the disk stays. */
  final class Vault {
    final String address;
    final SimDisk disk;
    SimNode node;
    Replica store;
    JobRetention jobs;
    boolean up;

    Vault(int number) {
      address = "10.0.1." + number + ":7720";
      disk = new SimDisk(seed * 31 + number, timers);
    }

    void start() {
      up = true;
      node = net.startNode(address);
      jobs =
          new JobRetention(
              node.timers(),
              () -> store != null && store.isVoting(),
              key -> store.dropKey(key),
              120_000,
              ProcessMetrics.strict());
      store =
          new Replica(
              SET,
              disk.open(node.timers()),
              jobs,
              node.requestHandlers(),
              node.rpcClient(),
              node.timers(),
              address,
              "st-" + address,
              ProcessMetrics.strict());
      jobs.listen(node.requestHandlers());
      jobs.start();
    }

    void kill(boolean wipe) {
      up = false;
      net.kill(address);
      if (wipe) {
        disk.wipe();
      }
    }
  }

  /** A gateway; each start is a new life with servers of its own. */
  final class Gateway {
    final String address;
    SimNode node;
    BatchApi calls;
    SimServers servers;
    boolean up;

    Gateway(int number) {
      address = "10.0.2." + number + ":7720";
    }

    void start() {
      up = true;
      node = net.startNode(address);
      VoterSet[] known = {voterSet()};
      RegisterClient register =
          new RegisterClient(
              SET,
              node.rpcClient(),
              node.timers(),
              new VoterSetSource() {
                @Override
                public VoterSet current() {
                  return known[0];
                }

                @Override
                public void learn(VoterSet newer) {
                  known[0] = newer;
                }
              },
              chance.nextLong(),
              address,
              other -> other.hashCode());
      calls =
          new BatchApi(
              register,
              node.rpcClient(),
              node.timers(),
              known(known),
              address,
              chance.nextLong(),
              3_000,
              ProcessMetrics.strict());
      servers = new SimServers(timers);
      servers.room = 3;
      servers.serveMs = 700;
      servers.served = served;
      all.add(servers);
      calls.setServers(servers);
      calls.listen(node.requestHandlers());
      calls.start();
    }

    /** Its servers drop what it had sent them. */
    void kill() {
      up = false;
      net.kill(address);
      servers.drop();
    }
  }

  final long seed;
  final ManualTimers timers = new ManualTimers();
  final Random chance;
  final SimNetwork net;
  final List<Vault> stores = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();

  /** Of all gateways' lives. */
  final List<SimServers> all = new ArrayList<>();

  /** ItemDispatcher that a server has finished. */
  final Set<String> served = new HashSet<>();

  final ClusterView view = new ClusterView();
  final SimConfig config;

  JobStoreWorld(long seed, int doorCount, long mostWaiting) {
    this(seed, doorCount, mostWaiting, 3);
  }

  JobStoreWorld(long seed, int doorCount, long mostWaiting, int storeCount) {
    this.seed = seed;
    chance = new Random(seed);
    net = new SimNetwork(seed, timers);
    config = new SimConfig(1, List.of(SimWorld.route(mostWaiting)));
    VoterSet founding = new VoterSet();
    for (int i = 0; i < storeCount; i++) {
      Vault store = new Vault(i);
      stores.add(store);
      store.start();
      Voter slot = new Voter();
      slot.address = store.address;
      slot.machine = "st-" + store.address;
      slot.instanceId = store.disk.instanceId();
      slot.epoch = 1;
      founding.voters.add(slot);
    }
    view.jobStoreVoters = founding;
    stores.forEach(store -> store.store.bootstrap(founding));
    timers.advance(100);
    for (int i = 0; i < doorCount; i++) {
      gateways.add(new Gateway(i));
      view.gateways.add(gateways.get(i).address);
    }
    gateways.forEach(Gateway::start);
    gossip();
  }

  /** What the pulls do: stores and gateways hear of the newest voter set. */
  private void gossip() {
    VoterSet newest = voterSet();
    view.jobStoreVoters = newest;
    for (Vault store : stores) {
      if (store.up) {
        store.store.learn(newest);
      }
    }
    timers.schedule(300, this::gossip);
  }

  private VoterSet voterSet() {
    VoterSet newest = view.jobStoreVoters;
    int best = sum(newest);
    for (Vault store : stores) {
      if (store.up && sum(store.store.voterSet()) > best) {
        newest = store.store.voterSet();
        best = sum(newest);
      }
    }
    return newest;
  }

  private static int sum(VoterSet voterSet) {
    int sum = 0;
    for (Voter slot : voterSet.voters) {
      sum += slot.epoch;
    }
    return sum;
  }

  private ClusterState known(VoterSet[] voterSet) {
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
      public long listAgeMs() {
        return 0;
      }

      @Override
      public ClusterView view() {
        voterSet[0] = sum(view.jobStoreVoters) > sum(voterSet[0]) ? view.jobStoreVoters : voterSet[0];
        return view;
      }

      @Override
      public void whenChanged(Runnable then) {}
    };
  }

  boolean calm() {
    for (Vault store : stores) {
      if (!store.up || !store.store.isVoting()) {
        return false;
      }
    }
    return true;
  }

  Route route() {
    return config.named("r-lots");
  }

  CompletableFuture<BatchCalls.Reply> hand(
      Gateway gateway, String id, int batchItems, long tokens) {
    return gateway.calls.submit(route(), id, SimWorld.job(id, batchItems, tokens), 3_000);
  }

  /** Null where no answer comes within 6 s, as the gateway has died. */
  BatchCalls.Reply await(CompletableFuture<BatchCalls.Reply> reply) {
    for (int i = 0; i < 6_000 && !reply.isDone(); i++) {
      timers.advance(1);
    }
    return reply.isDone() ? reply.join() : null;
  }
}
