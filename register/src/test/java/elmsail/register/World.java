package elmsail.register;

import elmsail.inner.Answering;
import elmsail.inner.Caller;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.rehearsal.HandTimers;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import elmsail.station.Timers;
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

/** Keepers and clients of one set on one clock, over a network that loses, repeats, delays and cuts. */
final class World {
  final HandTimers timers = new HandTimers();
  final Random chance;
  final Map<String, Node> nodes = new HashMap<>();
  final Set<String> cut = new HashSet<>();
  double loss;
  double repeats;
  int mostDelayMs = 6;
  long calls;
  /** Whether one life was ever known in two seats. */
  boolean twice;
  UnaryOperator<Caller> keepersCaller = caller -> caller;

  World(long seed) {
    chance = new Random(seed);
  }

  /** A process with a disk. */
  final class Node implements Answering {
    final String address;
    LossyRecords.Platter platter = new LossyRecords.Platter();
    LossyRecords records;
    SetKeeper keeper;
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
      Caller caller = keepersCaller.apply(caller(address, own));
      keeper = new SetKeeper("set", records, new Views() { }, this, caller, own, address, "st-" + address);
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
    public <Q, A> void on(Class<Q> ask, Function<Q, ? extends CompletionStage<A>> handler) {
      handlers.put(ask, q -> handler.apply(ask.cast(q)));
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
      public Timer after(long ms, Runnable then) {
        return timers.after(ms, () -> {
          if (node.starts == start) {
            then.run();
          }
        });
      }

      @Override
      public void soon(Runnable then) {
        after(0, then);
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
      if (node.up && !node.keeper.seated()) {
        idle = node;
      }
    }
    return idle;
  }

  Caller caller(String from, Timers own) {
    return new Caller() {
      @Override
      public <A> CompletableFuture<A> call(String peer, Object ask, Class<A> answer, long timeoutMs) {
        calls++;
        CompletableFuture<A> result = new CompletableFuture<>();
        own.after(timeoutMs, () -> result.completeExceptionally(new ElmsailException(Code.SILENT, peer)));
        int copies = chance.nextDouble() < repeats ? 2 : 1;
        for (int i = 0; i < copies; i++) {
          timers.after(delay(), () -> deliver(from, peer, ask, own, answer, result));
        }
        return result;
      }
    };
  }

  private int delay() {
    // Some stay long on their way.
    return 1 + chance.nextInt(mostDelayMs) + (chance.nextInt(40) == 0 ? chance.nextInt(2_500) : 0);
  }

  private <A> void deliver(String from, String peer, Object ask, Timers own, Class<A> answer,
      CompletableFuture<A> result) {
    Node node = nodes.get(peer);
    if (chance.nextDouble() < loss || !reaches(from, peer)) {
      return;
    }
    if (node == null || !node.up) {
      own.after(1, () -> result.completeExceptionally(new ElmsailException(Code.UNSENT, peer)));
      return;
    }
    CompletionStage<?> stage;
    try {
      stage = node.handlers.get(ask.getClass()).apply(ask);
    } catch (ElmsailException e) {
      stage = CompletableFuture.failedFuture(e);
    }
    int start = node.starts;
    stage.whenComplete((told, failure) -> {
      if (node.starts != start || chance.nextDouble() < loss || !reaches(peer, from)) {
        return;
      }
      own.after(delay(), () -> {
        if (failure != null) {
          result.completeExceptionally(failure);
        } else {
          result.complete(answer.cast(told));
        }
      });
    });
  }

  /** Founds the set on these addresses and lets it settle. */
  Seating found(String... addresses) {
    Seating seating = new Seating();
    for (String address : addresses) {
      Node node = new Node(address);
      node.start();
      Seat seat = new Seat();
      seat.address = address;
      seat.station = "st-" + address;
      seat.life = node.platter.life;
      seat.incarnation = 1;
      seating.seats.add(seat);
    }
    for (String address : addresses) {
      nodes.get(address).keeper.found(seating);
    }
    timers.pass(50);
    return seating;
  }

  /** A client that knows this seating, and lasts. */
  RegisterClient client(String name, long who, Seating known, UnaryOperator<Caller> wrapped) {
    Seating[] held = {known};
    return new RegisterClient("set", wrapped.apply(caller(name, timers)), timers, new Seatings() {
      @Override
      public Seating of() {
        return held[0];
      }

      @Override
      public void told(Seating newer) {
        held[0] = SeatingRules.merge(held[0], newer);
      }
    }, who, "", address -> address.charAt(0));
  }

  RegisterClient client(String name, long who, Seating known) {
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
        node.keeper.learn(other.keeper.seating());
      }
    }
  }

  /** The seating as anyone knows it, on disks too. */
  Seating newest() {
    Seating newest = new Seating();
    for (Node node : nodes.values()) {
      newest = SeatingRules.merge(newest, SeatingBytes.seating(node.platter.safe.get("set/seating")));
      if (node.up && node.keeper != null) {
        newest = SeatingRules.merge(newest, node.keeper.membership.seating());
      }
    }
    if (SeatingRules.vacant(newest) > 0) {
      twice = true;
    }
    return newest;
  }

  /** Whether each seat but so many, as the newest that any knows, has a holder that is up and votes. */
  boolean whole(int butFor) {
    int missing = 0;
    for (Seat seat : newest().seats) {
      Node node = nodes.get(seat.address);
      if (!node.up || node.platter.life != seat.life || !node.keeper.seated()
          || node.records.read("set/seated") == null || !node.records.idle()) {
        missing++;
      }
    }
    return missing <= butFor;
  }

  /**
   * Whether the set must bear the loss of that holder's memory: of the other seats just one may have a holder
   * that isn't seated, and there the one before has its records, claims nothing, and its successor lives.
   */
  boolean covered(Node lost) {
    Seating newest = newest();
    int missing = 0;
    for (Seat seat : newest.seats) {
      Node node = nodes.get(seat.address);
      if (node == lost || safelySeated(node, seat)) {
        continue;
      }
      Node before = nodes.get(seat.beforeAddress);
      if (before == null || before == lost || before.platter.life != seat.beforeLife
          || node.platter.life != seat.life
          || KeptNames.incarnation(before.platter.safe.get("set/seated")) != seat.beforeIncarnation
          || SeatingRules.ofLife(newest, before.platter.life) >= 0) {
        return false;
      }
      missing++;
    }
    return missing <= 1;
  }

  /** As its disk has it, whether it is up or not. */
  private static boolean safelySeated(Node node, Seat seat) {
    Seating known = SeatingBytes.seating(node.platter.safe.get("set/seating"));
    int own = SeatingRules.ofLife(known, node.platter.life);
    return node.platter.life == seat.life && own >= 0 && known.seats.get(own).incarnation == seat.incarnation
        && KeptNames.incarnation(node.platter.safe.get("set/seated")) == seat.incarnation;
  }

  String state() {
    StringBuilder state = new StringBuilder();
    for (Node node : nodes.values()) {
      state.append('\n').append(node.address).append(node.up ? " up" : " down");
      if (node.up) {
        state.append(node.keeper.seated() ? " seated, knows" : " knows");
        for (Seat seat : node.keeper.seating().seats) {
          state.append(' ').append(seat.address).append('#').append(seat.incarnation).append('/')
              .append(seat.life & 0xff);
        }
        state.append(", is ").append(node.platter.life & 0xff);
      }
    }
    return state.toString();
  }

  /** Runs until that future is done, at most so long. */
  <T> T await(CompletableFuture<T> future, long mostMs) {
    long end = timers.now() + mostMs;
    while (!future.isDone() && timers.now() < end && timers.step()) {
      continue;
    }
    return future.join();
  }
}
