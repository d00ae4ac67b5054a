package elmsail.consensus;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/**
 * Replicas and clients of one set with a simulated clock. The network loses, duplicates and delays
 * messages at random, by a seed, and links can be cut.
 */
final class FaultyCluster {
  final ManualTimers timers = new ManualTimers();
  final Random random;
  final Map<String, Node> nodes = new HashMap<>();
  final Set<String> cutLinks = new HashSet<>();
  double lossRate;
  double duplicateRate;
  int maxDelayMs = 6;
  long calls;

  /** Whether a voter set ever named one instance in two voter slots. */
  boolean instanceInTwoSlots;

  UnaryOperator<RpcClient> replicaClientWrapper = rpcClient -> rpcClient;

  FaultyCluster(long seed) {
    random = new Random(seed);
  }

  /** A process with a disk. */
  final class Node implements RequestHandlers {
    final String address;
    LossyRecordStore.DiskImage disk = new LossyRecordStore.DiskImage();
    LossyRecordStore records;
    Replica replica;
    Map<Class<?>, Function<Object, CompletionStage<?>>> handlers = new HashMap<>();
    int incarnation;
    boolean up;

    Node(String address) {
      this.address = address;
      nodes.put(address, this);
    }

    void start() {
      up = true;
      incarnation++;
      handlers = new HashMap<>();
      Timers nodeTimers = timers(this);
      records = new LossyRecordStore(disk, nodeTimers, random);
      RpcClient rpcClient = replicaClientWrapper.apply(rpcClient(address, nodeTimers));
      replica =
          new Replica(
              new ReplicaIdentity("set", address, "st-" + address),
              records,
              new ReplicaListener() {},
              this,
              rpcClient,
              nodeTimers,
              ProcessMetrics.strict());
    }

    void crash() {
      up = false;
      incarnation++;
      records.crash();
    }

    void wipeDisk() {
      disk = new LossyRecordStore.DiskImage();
    }

    @Override
    public <Q, A> void register(
        Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler) {
      handlers.put(request, q -> handler.apply(request.cast(q)));
    }
  }

  /** Timers whose actions don't run after the process of the node ended. */
  private Timers timers(Node node) {
    int incarnation = node.incarnation;
    return new Timers() {
      @Override
      public long now() {
        return timers.now();
      }

      @Override
      public Timer schedule(long ms, Runnable then) {
        return timers.schedule(
            ms,
            () -> {
              if (node.incarnation == incarnation) {
                then.run();
              }
            });
      }

      @Override
      public void execute(Runnable then) {
        schedule(0, then);
      }
    };
  }

  private boolean canReach(String from, String to) {
    return !cutLinks.contains(from + ">" + to);
  }

  /** Cuts or restores the links between this address and all nodes, in both directions. */
  void setPartitioned(String address, boolean partitioned) {
    for (String other : nodes.keySet()) {
      for (String link : new String[] {address + ">" + other, other + ">" + address}) {
        if (partitioned) {
          cutLinks.add(link);
        } else {
          cutLinks.remove(link);
        }
      }
    }
  }

  /** Cuts or restores the link between two addresses, in both directions. */
  void setPartitioned(String address, String other, boolean partitioned) {
    for (String link : new String[] {address + ">" + other, other + ">" + address}) {
      if (partitioned) {
        cutLinks.add(link);
      } else {
        cutLinks.remove(link);
      }
    }
  }

  /** A node that is up and doesn't vote, or null. */
  Node nonVotingNode() {
    Node found = null;
    for (Node node : nodes.values()) {
      if (node.up && !node.replica.isVoting()) {
        found = node;
      }
    }
    return found;
  }

  RpcClient rpcClient(String from, Timers callerTimers) {
    return new RpcClient() {
      @Override
      public <A> CompletableFuture<A> call(
          String peer, Object request, Class<A> responseType, long timeoutMs) {
        calls++;
        CompletableFuture<A> result = new CompletableFuture<>();
        callerTimers.schedule(
            timeoutMs,
            () -> result.completeExceptionally(new ElmsailException(ErrorCode.TIMEOUT, peer)));
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
          timers.schedule(
              randomDelayMs(),
              () -> deliver(from, peer, request, callerTimers, responseType, result));
        }
        return result;
      }
    };
  }

  private int randomDelayMs() {
    // One of 40 messages is delayed by up to 2.5 s more.
    return 1 + random.nextInt(maxDelayMs) + (random.nextInt(40) == 0 ? random.nextInt(2_500) : 0);
  }

  private <A> void deliver(
      String from,
      String peer,
      Object request,
      Timers callerTimers,
      Class<A> responseType,
      CompletableFuture<A> result) {
    Node node = nodes.get(peer);
    if (random.nextDouble() < lossRate || !canReach(from, peer)) {
      return;
    }
    if (node == null || !node.up) {
      callerTimers.schedule(
          1, () -> result.completeExceptionally(new ElmsailException(ErrorCode.NOT_SENT, peer)));
      return;
    }
    CompletionStage<?> stage;
    try {
      stage = node.handlers.get(request.getClass()).apply(request);
    } catch (ElmsailException e) {
      stage = CompletableFuture.failedFuture(e);
    }
    int incarnation = node.incarnation;
    stage.whenComplete(
        (response, failure) -> {
          if (node.incarnation != incarnation
              || random.nextDouble() < lossRate
              || !canReach(peer, from)) {
            return;
          }
          callerTimers.schedule(
              randomDelayMs(),
              () -> {
                if (failure != null) {
                  result.completeExceptionally(failure);
                } else {
                  result.complete(responseType.cast(response));
                }
              });
        });
  }

  /** Bootstraps the set with voters at these addresses. */
  VoterSet bootstrap(String... addresses) {
    VoterSet voterSet = new VoterSet();
    for (String address : addresses) {
      Node node = new Node(address);
      node.start();
      Voter voter = new Voter();
      voter.address = address;
      voter.machine = "st-" + address;
      voter.instanceId = node.disk.instanceId;
      voter.epoch = 1;
      voterSet.voters.add(voter);
    }
    for (String address : addresses) {
      nodes.get(address).replica.bootstrap(voterSet);
    }
    timers.advance(50);
    return voterSet;
  }

  /** A client that starts with this voter set and never crashes. */
  RegisterClient client(
      String name, long proposerId, VoterSet known, UnaryOperator<RpcClient> wrapper) {
    return new RegisterClient(
        "set",
        wrapper.apply(rpcClient(name, timers)),
        timers,
        new KnownVoterSet(known),
        proposerId,
        "",
        address -> address.charAt(0));
  }

  RegisterClient client(String name, long proposerId, VoterSet known) {
    return client(name, proposerId, known, rpcClient -> rpcClient);
  }

  /**
   * Makes each node that is up learn the voter set of another node, as the periodic polls between
   * processes do.
   */
  void gossip() {
    List<Node> up = new ArrayList<>();
    for (Node node : nodes.values()) {
      if (node.up) {
        up.add(node);
      }
    }
    for (Node node : up) {
      Node other = up.get(random.nextInt(up.size()));
      if (canReach(other.address, node.address) && random.nextDouble() >= lossRate) {
        node.replica.learn(other.replica.voterSet());
      }
    }
  }

  /** The newest voter set that any node knows or has on its disk. */
  VoterSet newestVoterSet() {
    VoterSet newest = new VoterSet();
    for (Node node : nodes.values()) {
      newest = VoterSets.merge(newest, VoterSetCodec.decode(node.disk.durable.get("set/seating")));
      if (node.up && node.replica != null) {
        newest = VoterSets.merge(newest, node.replica.membership.voterSet());
      }
    }
    if (VoterSets.uncountedSlots(newest) > 0) {
      instanceInTwoSlots = true;
    }
    return newest;
  }

  /**
   * Whether at most {@code maxMissing} slots of the newest voter set lack a voter that is up, votes
   * and has written all its records.
   */
  boolean hasAtMostMissingVoters(int maxMissing) {
    int missing = 0;
    for (Voter voter : newestVoterSet().voters) {
      Node node = nodes.get(voter.address);
      if (!node.up
          || node.disk.instanceId != voter.instanceId
          || !node.replica.isVoting()
          || node.records.read("set/seated") == null
          || !node.records.isIdle()) {
        missing++;
      }
    }
    return missing <= maxMissing;
  }

  /**
   * Whether the set must tolerate the loss of this node's disk: at most one other slot has a holder
   * that doesn't vote. In that slot the predecessor has its records and claims no slot, and the
   * successor still has its disk.
   */
  boolean toleratesDiskLossOf(Node lost) {
    VoterSet newest = newestVoterSet();
    int missing = 0;
    for (Voter voter : newest.voters) {
      Node node = nodes.get(voter.address);
      if (node == lost || isVoterOnDisk(node, voter)) {
        continue;
      }
      Node predecessor = nodes.get(voter.previousAddress);
      if (predecessor == null
          || predecessor == lost
          || predecessor.disk.instanceId != voter.previousInstanceId
          || node.disk.instanceId != voter.instanceId
          || RecordNames.epochFromBytes(predecessor.disk.durable.get("set/seated"))
              != voter.previousEpoch
          || VoterSets.slotOfInstance(newest, predecessor.disk.instanceId) >= 0) {
        return false;
      }
      missing++;
    }
    return missing <= 1;
  }

  /** Whether the node is this voter according to its disk; the node may be down. */
  private static boolean isVoterOnDisk(Node node, Voter voter) {
    VoterSet known = VoterSetCodec.decode(node.disk.durable.get("set/seating"));
    int ownSlot = VoterSets.slotOfInstance(known, node.disk.instanceId);
    return node.disk.instanceId == voter.instanceId
        && ownSlot >= 0
        && known.voters.get(ownSlot).epoch == voter.epoch
        && RecordNames.epochFromBytes(node.disk.durable.get("set/seated")) == voter.epoch;
  }

  String describe() {
    StringBuilder text = new StringBuilder();
    for (Node node : nodes.values()) {
      text.append('\n').append(node.address).append(node.up ? " up" : " down");
      if (node.up) {
        text.append(node.replica.isVoting() ? " voting, knows" : " knows");
        for (Voter voter : node.replica.voterSet().voters) {
          text.append(' ')
              .append(voter.address)
              .append('#')
              .append(voter.epoch)
              .append('/')
              .append(voter.instanceId & 0xff);
        }
        text.append(", is ").append(node.disk.instanceId & 0xff);
      }
    }
    return text.toString();
  }

  /** Runs timers until the future is done or {@code maxMs} have passed. */
  <T> T await(CompletableFuture<T> future, long maxMs) {
    long end = timers.now() + maxMs;
    while (!future.isDone() && timers.now() < end && timers.runNext()) {
      continue;
    }
    return future.join();
  }
}
