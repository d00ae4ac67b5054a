package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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
 * Keepers and clients of one set on one clock, over a network that loses, repeats, delays and cuts.
 */
final class World {
  final ManualTimers timers = new ManualTimers();
  final Random chance;
  final Map<String, Node> nodes = new HashMap<>();
  final Set<String> cut = new HashSet<>();
  double loss;
  double repeats;
  int mostDelayMs = 6;
  long calls;

  /** Whether one life was ever known in two voter slots. */
  boolean twice;

  UnaryOperator<RpcClient> keepersCaller = caller -> caller;

  World(long seed) {
    chance = new Random(seed);
  }

  /** A process with a disk. */
  final class Node implements RequestHandlers {
    final String address;
    LossyRecords.Platter platter = new LossyRecords.Platter();
    LossyRecords records;
    Replica replica;
    Map<Class<?>, Function<Object, CompletionStage<?>>> handlers = new HashMap<>();
    int starts;
    boolean up;

    Node(String address) {
      this.address = address;
      nodes.put(address, this);
    }

    void start() {
      up = true;
      starts++;
      handlers = new HashMap<>();
      Timers own = timers(this);
      records = new LossyRecords(platter, own, chance);
      RpcClient caller = keepersCaller.apply(caller(address, own));
      replica =
          new Replica(
              "set",
              records,
              new ReplicaListener() {},
              this,
              caller,
              own,
              address,
              "st-" + address,
              ProcessMetrics.strict());
    }

    void crash() {
      up = false;
      starts++;
      records.crash();
    }

    void wipe() {
      platter = new LossyRecords.Platter();
    }

    @Override
    public <Q, A> void register(Class<Q> request, Function<Q, ? extends CompletionStage<A>> handler) {
      handlers.put(request, q -> handler.apply(request.cast(q)));
    }
  }

  /** Timers that end with the process's run. */
  private Timers timers(Node node) {
    int start = node.starts;
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
              if (node.starts == start) {
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

  private boolean reaches(String from, String to) {
    return !cut.contains(from + ">" + to);
  }

  void cutOff(String one, boolean off) {
    for (String other : nodes.keySet()) {
      for (String way : new String[] {one + ">" + other, other + ">" + one}) {
        if (off) {
          cut.add(way);
        } else {
          cut.remove(way);
        }
      }
    }
  }

  void cutOff(String one, String other, boolean off) {
    for (String way : new String[] {one + ">" + other, other + ">" + one}) {
      if (off) {
        cut.add(way);
      } else {
        cut.remove(way);
      }
    }
  }

  /** One that is up and doesn't vote, or null. */
  Node idle() {
    Node idle = null;
    for (Node node : nodes.values()) {
      if (node.up && !node.replica.voting()) {
        idle = node;
      }
    }
    return idle;
  }

  RpcClient caller(String from, Timers own) {
    return new RpcClient() {
      @Override
      public <A> CompletableFuture<A> call(
          String peer, Object request, Class<A> answer, long timeoutMs) {
        calls++;
        CompletableFuture<A> result = new CompletableFuture<>();
        own.schedule(
            timeoutMs,
            () -> result.completeExceptionally(new ElmsailException(ErrorCode.TIMEOUT, peer)));
        int copies = chance.nextDouble() < repeats ? 2 : 1;
        for (int i = 0; i < copies; i++) {
          timers.schedule(delay(), () -> deliver(from, peer, request, own, answer, result));
        }
        return result;
      }
    };
  }

  private int delay() {
    // Some stay long on their way.
    return 1 + chance.nextInt(mostDelayMs) + (chance.nextInt(40) == 0 ? chance.nextInt(2_500) : 0);
  }

  private <A> void deliver(
      String from,
      String peer,
      Object request,
      Timers own,
      Class<A> answer,
      CompletableFuture<A> result) {
    Node node = nodes.get(peer);
    if (chance.nextDouble() < loss || !reaches(from, peer)) {
      return;
    }
    if (node == null || !node.up) {
      own.schedule(
          1, () -> result.completeExceptionally(new ElmsailException(ErrorCode.NOT_SENT, peer)));
      return;
    }
    CompletionStage<?> stage;
    try {
      stage = node.handlers.get(request.getClass()).apply(request);
    } catch (ElmsailException e) {
      stage = CompletableFuture.failedFuture(e);
    }
    int start = node.starts;
    stage.whenComplete(
        (response, failure) -> {
          if (node.starts != start || chance.nextDouble() < loss || !reaches(peer, from)) {
            return;
          }
          own.schedule(
              delay(),
              () -> {
                if (failure != null) {
                  result.completeExceptionally(failure);
                } else {
                  result.complete(answer.cast(response));
                }
              });
        });
  }

  /** Founds the set on these addresses and lets it settle. */
  VoterSet found(String... addresses) {
    VoterSet voterSet = new VoterSet();
    for (String address : addresses) {
      Node node = new Node(address);
      node.start();
      Voter slot = new Voter();
      slot.address = address;
      slot.machine = "st-" + address;
      slot.instanceId = node.platter.instanceId;
      slot.epoch = 1;
      voterSet.voters.add(slot);
    }
    for (String address : addresses) {
      nodes.get(address).replica.found(voterSet);
    }
    timers.advance(50);
    return voterSet;
  }

  /** A client that knows this voter set, and lasts. */
  RegisterClient client(String name, long who, VoterSet known, UnaryOperator<RpcClient> wrapped) {
    VoterSet[] held = {known};
    return new RegisterClient(
        "set",
        wrapped.apply(caller(name, timers)),
        timers,
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
        who,
        "",
        address -> address.charAt(0));
  }

  RegisterClient client(String name, long who, VoterSet known) {
    return client(name, who, known, caller -> caller);
  }

  /** What the pulls do: each one that is up hears, now and then, what another one knows. */
  void gossip() {
    List<Node> up = new ArrayList<>();
    for (Node node : nodes.values()) {
      if (node.up) {
        up.add(node);
      }
    }
    for (Node node : up) {
      Node other = up.get(chance.nextInt(up.size()));
      if (reaches(other.address, node.address) && chance.nextDouble() >= loss) {
        node.replica.learn(other.replica.voterSet());
      }
    }
  }

  /** The voter set as anyone knows it, on disks too. */
  VoterSet newest() {
    VoterSet newest = new VoterSet();
    for (Node node : nodes.values()) {
      newest =
          VoterSets.merge(newest, VoterSetCodec.voterSet(node.platter.safe.get("set/seating")));
      if (node.up && node.replica != null) {
        newest = VoterSets.merge(newest, node.replica.membership.voterSet());
      }
    }
    if (VoterSets.vacant(newest) > 0) {
      twice = true;
    }
    return newest;
  }

  /**
   * Whether each voter slot but so many, as the newest that any knows, has a holder that is up and
   * votes.
   */
  boolean whole(int butFor) {
    int missing = 0;
    for (Voter slot : newest().voters) {
      Node node = nodes.get(slot.address);
      if (!node.up
          || node.platter.instanceId != slot.instanceId
          || !node.replica.voting()
          || node.records.read("set/seated") == null
          || !node.records.idle()) {
        missing++;
      }
    }
    return missing <= butFor;
  }

  /**
   * Whether the set must bear the loss of that holder's memory: of the other voter slots just one
   * may have a holder that isn't voting, and there the one before has its records, claims nothing,
   * and its successor lives.
   */
  boolean covered(Node lost) {
    VoterSet newest = newest();
    int missing = 0;
    for (Voter slot : newest.voters) {
      Node node = nodes.get(slot.address);
      if (node == lost || safelySeated(node, slot)) {
        continue;
      }
      Node before = nodes.get(slot.previousAddress);
      if (before == null
          || before == lost
          || before.platter.instanceId != slot.previousInstanceId
          || node.platter.instanceId != slot.instanceId
          || RecordNames.epoch(before.platter.safe.get("set/seated")) != slot.previousEpoch
          || VoterSets.ofInstance(newest, before.platter.instanceId) >= 0) {
        return false;
      }
      missing++;
    }
    return missing <= 1;
  }

  /** As its disk has it, whether it is up or not. */
  private static boolean safelySeated(Node node, Voter slot) {
    VoterSet known = VoterSetCodec.voterSet(node.platter.safe.get("set/seating"));
    int own = VoterSets.ofInstance(known, node.platter.instanceId);
    return node.platter.instanceId == slot.instanceId
        && own >= 0
        && known.voters.get(own).epoch == slot.epoch
        && RecordNames.epoch(node.platter.safe.get("set/seated")) == slot.epoch;
  }

  String state() {
    StringBuilder state = new StringBuilder();
    for (Node node : nodes.values()) {
      state.append('\n').append(node.address).append(node.up ? " up" : " down");
      if (node.up) {
        state.append(node.replica.voting() ? " seated, knows" : " knows");
        for (Voter slot : node.replica.voterSet().voters) {
          state
              .append(' ')
              .append(slot.address)
              .append('#')
              .append(slot.epoch)
              .append('/')
              .append(slot.instanceId & 0xff);
        }
        state.append(", is ").append(node.platter.instanceId & 0xff);
      }
    }
    return state.toString();
  }

  /** Runs until that future is done, at most so long. */
  <T> T await(CompletableFuture<T> future, long mostMs) {
    long end = timers.now() + mostMs;
    while (!future.isDone() && timers.now() < end && timers.runNext()) {
      continue;
    }
    return future.join();
  }
}
