package elmsail.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.simulation.SimDisk;
import elmsail.simulation.SimNetwork;
import elmsail.simulation.SimNode;
import elmsail.storage.RecordStore;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Three voters and a spare on a simulated network with simulated disks. */
final class SimCluster {
  static final String[] ADDRESSES = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"};

  final ManualTimers timers = new ManualTimers();
  final SimNetwork net = new SimNetwork(11, timers);
  final SimDisk[] disks = new SimDisk[ADDRESSES.length];
  final Replica[] replicas = new Replica[ADDRESSES.length];
  final RecordStore[] records = new RecordStore[ADDRESSES.length];
  final ProcessMetrics[] metrics = new ProcessMetrics[ADDRESSES.length];
  final ReplicaListener[] listeners = new ReplicaListener[ADDRESSES.length];
  final VoterSet initialVoters = new VoterSet();
  private int clients;

  SimCluster() {
    net.delay(1, 3);
    for (int i = 0; i < ADDRESSES.length; i++) {
      disks[i] = new SimDisk(i + 1, timers);
      listeners[i] = new ReplicaListener() {};
      start(i);
    }
    for (int i = 0; i < 3; i++) {
      Voter voter = new Voter();
      voter.address = ADDRESSES[i];
      voter.machine = "s" + i;
      voter.instanceId = disks[i].instanceId();
      voter.epoch = 1;
      initialVoters.voters.add(voter);
    }
  }

  SimCluster bootstrapped() {
    for (int i = 0; i < 3; i++) {
      replicas[i].bootstrap(initialVoters);
    }
    timers.advance(30);
    return this;
  }

  void start(int i) {
    SimNode node = net.startNode(ADDRESSES[i]);
    metrics[i] = ProcessMetrics.strict();
    records[i] = disks[i].open(node.timers());
    replicas[i] =
        new Replica(
            new ReplicaIdentity("set", ADDRESSES[i], "s" + i),
            records[i],
            listeners[i],
            node.requestHandlers(),
            node.rpcClient(),
            node.timers(),
            metrics[i]);
  }

  void kill(int i) {
    net.kill(ADDRESSES[i], true);
    disks[i].powerLoss();
  }

  /** A client at an address of its own, whose calls are counted in {@link #requestCounts}. */
  RegisterClient client(VoterSet known) {
    clients++;
    String address = lastClientAddress();
    SimNode node = net.startNode(address);
    return new RegisterClient(
        "set",
        new CountingClient(node.rpcClient()),
        node.timers(),
        new KnownVoterSet(known),
        1_000 + clients,
        address,
        voterAddress -> voterAddress.charAt(7) - '0');
  }

  /** The address of the client that was created last. */
  String lastClientAddress() {
    return "10.0.1." + clients + ":7";
  }

  final java.util.Map<String, Integer> requestCounts = new java.util.TreeMap<>();

  private final class CountingClient implements RpcClient {
    private final RpcClient rpcClient;

    CountingClient(RpcClient rpcClient) {
      this.rpcClient = rpcClient;
    }

    @Override
    public <A> CompletableFuture<A> call(
        String peer, Object request, Class<A> responseType, long timeoutMs) {
      requestCounts.merge(request.getClass().getSimpleName(), 1, Integer::sum);
      return rpcClient.call(peer, request, responseType, timeoutMs);
    }
  }

  /** Commits a value of the key "key" together with these blobs, through a new client. */
  void put(String value, Blob... blobs) {
    await(
        client(initialVoters)
            .change(
                "key",
                observed -> new Register.ProposedValue(value.getBytes(UTF_8), List.of()),
                List.of(blobs),
                null,
                3_000));
  }

  /** Reads the key "key" through a new client. */
  String read(long timeoutMs) {
    return new String(await(client(initialVoters).read("key", null, timeoutMs)).value(), UTF_8);
  }

  static Blob blob(String name, int bytes) {
    Blob blob = new Blob();
    blob.name = name;
    blob.bytes = new byte[bytes];
    return blob;
  }

  <T> T await(CompletableFuture<T> future) {
    long end = timers.now() + 20_000;
    while (!future.isDone() && timers.now() < end && timers.runNext()) {
      continue;
    }
    return future.join();
  }

  void awaitVoting(int i, long maxMs) {
    long end = timers.now() + maxMs;
    while (!replicas[i].isVoting() && timers.now() < end && timers.runNext()) {
      continue;
    }
  }
}
