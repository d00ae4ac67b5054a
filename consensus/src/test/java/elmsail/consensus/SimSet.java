package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.simulation.SimNode;
import elmsail.simulation.SimDisk;
import elmsail.simulation.SimNetwork;
import elmsail.storage.RecordStore;
import java.util.concurrent.CompletableFuture;

/** Three replicas and a spare on the simulated network and disks. */
final class SimSet {
  static final String[] AT = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"};

  final ManualTimers timers = new ManualTimers();
  final SimNetwork net = new SimNetwork(11, timers);
  final SimDisk[] disks = new SimDisk[AT.length];
  final Replica[] replicas = new Replica[AT.length];
  final RecordStore[] records = new RecordStore[AT.length];
  final ProcessMetrics[] metrics = new ProcessMetrics[AT.length];
  final ReplicaListener[] views = new ReplicaListener[AT.length];
  final VoterSet founding = new VoterSet();
  private int clients;

  SimSet() {
    net.delay(1, 3);
    for (int i = 0; i < AT.length; i++) {
      disks[i] = new SimDisk(i + 1, timers);
      views[i] = new ReplicaListener() {};
      start(i);
    }
    for (int i = 0; i < 3; i++) {
      Voter slot = new Voter();
      slot.address = AT[i];
      slot.machine = "s" + i;
      slot.instanceId = disks[i].instanceId();
      slot.epoch = 1;
      founding.voters.add(slot);
    }
  }

  SimSet founded() {
    for (int i = 0; i < 3; i++) {
      replicas[i].found(founding);
    }
    timers.advance(30);
    return this;
  }

  void start(int i) {
    SimNode node = net.startNode(AT[i]);
    metrics[i] = ProcessMetrics.strict();
    records[i] = disks[i].open(node.timers());
    replicas[i] =
        new Replica(
            "set",
            records[i],
            views[i],
            node.requestHandlers(),
            node.rpcClient(),
            node.timers(),
            AT[i],
            "s" + i,
            metrics[i]);
  }

  void kill(int i) {
    net.kill(AT[i], true);
    disks[i].powerLoss();
  }

  /** A client at an address of its own; the counts are of its calls by kind of ask. */
  RegisterClient client(VoterSet known) {
    String address = "10.0.1." + ++clients + ":7";
    SimNode node = net.startNode(address);
    VoterSet[] held = {known};
    return new RegisterClient(
        "set",
        new Counting(node.rpcClient()),
        node.timers(),
        new VoterSetSource() {
          @Override
          public VoterSet current() {
            return held[0];
          }

          @Override
          public void learn(VoterSet newer) {
            held[0] = VoterSets.merge(held[0], newer);
          }
        },
        1_000 + clients,
        address,
        to -> to.charAt(7) - '0');
  }

  final java.util.Map<String, Integer> asked = new java.util.TreeMap<>();

  private final class Counting implements RpcClient {
    private final RpcClient caller;

    Counting(RpcClient caller) {
      this.caller = caller;
    }

    @Override
    public <A> CompletableFuture<A> call(
        String peer, Object request, Class<A> answer, long timeoutMs) {
      asked.merge(request.getClass().getSimpleName(), 1, Integer::sum);
      return caller.call(peer, request, answer, timeoutMs);
    }
  }

  <T> T await(CompletableFuture<T> future) {
    long end = timers.now() + 20_000;
    while (!future.isDone() && timers.now() < end && timers.runNext()) {
      continue;
    }
    return future.join();
  }

  void awaitSeated(int i, long mostMs) {
    long end = timers.now() + mostMs;
    while (!replicas[i].voting() && timers.now() < end && timers.runNext()) {
      continue;
    }
  }
}
