package elmsail.consensus;

import elmsail.consensus.Register.Held;
import elmsail.consensus.Register.Versioned;
import elmsail.consensus.Register.Wanted;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One random run: clients that append and read, and trouble all the while; then quiet, and a last
 * read.
 */
final class History {
  private static final int CLIENTS = 3;
  private static final long TROUBLE_MS = 12_000;
  private static final byte[] LARGE = new byte[RelayChoice.LEAST_BYTES];

  final World world;
  final Chain chain = new Chain();
  final RegisterClient[] clients = new RegisterClient[CLIENTS];
  Consumer<World.Node> whenMade = node -> {};
  BiConsumer<World.Node, LossyRecords.Platter> afterWipe = (node, before) -> {};
  UnaryOperator<RpcClient> clientsCaller = caller -> caller;
  int changed;
  int read;
  int failed;
  int wipes;
  int crashes;
  int replacements;

  /** Spares' claims that don't come through, and then the loss of another holder's memory. */
  int unfinished;

  int wipedMeanwhile;
  private boolean spares;

  /** Whether each change carries a blob of so many bytes that its first round is relayed. */
  private boolean largeBlobs;

  private final List<String> heldMarks = new ArrayList<>();
  private final String[] addresses;
  private long end;
  private int marks;

  History(long seed) {
    this(seed, 3);
  }

  History(long seed, int voters) {
    world = new World(seed);
    addresses = Arrays.copyOf(new String[] {"a", "b", "c", "d", "e"}, voters);
  }

  History withUnfinishedClaims() {
    spares = true;
    return this;
  }

  /** Every change carries a blob; at the end that of each change that held is read. */
  History withLargeBlobs() {
    largeBlobs = true;
    return this;
  }

  History run() {
    VoterSet founding = world.found(addresses);
    World.Node spare = world.new Node("s");
    spare.start();
    for (World.Node node : world.nodes.values()) {
      whenMade.accept(node);
    }
    world.timers.advance(100);
    world.loss = world.chance.nextInt(3) * 0.03;
    world.repeats = world.chance.nextInt(3) * 0.05;
    world.mostDelayMs = 2 + world.chance.nextInt(30);
    end = world.timers.now() + TROUBLE_MS;
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] = world.client("client" + i, 100 + i, founding, clientsCaller);
      work(i);
    }
    trouble();
    gossip();
    world.timers.advance(TROUBLE_MS);
    world.loss = 0;
    world.repeats = 0;
    world.cut.clear();
    for (World.Node node : world.nodes.values()) {
      if (!node.up) {
        node.start();
      }
    }
    world.timers.advance(12_000);
    if (world.twice) {
      chain.faults.add("a life in two seats");
    }
    if (!world.whole(0)) {
      chain.faults.add("not seated again: " + world.state());
    }
    long from = world.timers.now();
    try {
      Versioned last = world.await(clients[0].read("key", null, 8_000), 9_000);
      chain.seen(from, world.timers.now(), last.value());
      chain.end(last.value());
    } catch (RuntimeException e) {
      chain.faults.add("no last read: " + e);
    }
    heldMarks.forEach(this::checkBlob);
    return this;
  }

  private void checkBlob(String mark) {
    try {
      byte[] bytes = world.await(clients[0].blob("key", mark, 3_000), 4_000);
      if (bytes == null || bytes.length != RelayChoice.LEAST_BYTES) {
        chain.faults.add("held without its blob: " + mark);
      }
    } catch (RuntimeException e) {
      chain.faults.add("no read of the blob of " + mark + ": " + e);
    }
  }

  private List<Blob> blobs(String mark) {
    if (!largeBlobs) {
      return List.of();
    }
    Blob blob = new Blob();
    blob.name = mark;
    blob.bytes = LARGE;
    return List.of(blob);
  }

  private void gossip() {
    world.gossip();
    world.timers.schedule(100, this::gossip);
  }

  private void work(int client) {
    if (world.timers.now() >= end) {
      return;
    }
    long from = world.timers.now();
    CompletableFuture<?> done;
    if (world.chance.nextInt(3) == 0) {
      done =
          clients[client]
              .read("key", null, 3_000)
              .whenComplete(
                  (response, failure) -> {
                    if (response != null) {
                      read++;
                      chain.seen(from, world.timers.now(), response.value());
                    }
                  });
    } else {
      String mark = "m" + client + "." + marks++ + ";";
      done =
          clients[client]
              .change("key", found -> append(found.value(), mark), blobs(mark), null, 3_000)
              .whenComplete((held, failure) -> response(mark, from, held, failure));
    }
    done.whenComplete(
        (response, failure) -> world.timers.schedule(world.chance.nextInt(60), () -> work(client)));
  }

  private static Wanted append(byte[] value, String mark) {
    String now = Chain.text(value);
    return now.contains(mark)
        ? new Wanted(null, List.of())
        : new Wanted((now + mark).getBytes(StandardCharsets.US_ASCII), List.of());
  }

  private void response(String mark, long from, Held held, Throwable failure) {
    if (held != null) {
      changed++;
      if (largeBlobs) {
        heldMarks.add(mark);
      }
      chain.seen(from, world.timers.now(), held.now().value());
      if (!Chain.text(held.now().value()).contains(mark)) {
        chain.faults.add("held without its mark: " + mark);
      }
      return;
    }
    failed++;
    if (ElmsailException.codeOf(failure) == ErrorCode.NO_QUORUM) {
      chain.denied(mark);
    } else if (ElmsailException.codeOf(failure) != ErrorCode.OUTCOME_UNKNOWN) {
      chain.faults.add("failed with " + failure);
    }
  }

  private void trouble() {
    if (world.timers.now() >= end) {
      return;
    }
    int pick = world.chance.nextInt(addresses.length + 1);
    World.Node node = world.nodes.get(pick < addresses.length ? addresses[pick] : "s");
    boolean whole = world.whole(addresses.length / 2 - 1);
    switch (world.chance.nextInt(spares ? 8 : 5)) {
      case 0 -> crash(node, false);
      case 1 -> crash(node, whole);
      case 2 -> {
        world.cutOff(node.address, true);
        world.timers.schedule(world.chance.nextInt(1_500), () -> world.cutOff(node.address, false));
      }
      case 3 -> replace(whole);
      case 5, 6, 7 -> claimWithoutEnd(whole);
      default -> {
        if (node.up) {
          node.records.failing = 1;
        }
      }
    }
    world.timers.schedule(world.chance.nextInt(700), this::trouble);
  }

  /**
   * A spare that reaches all but one or two of those it needs; then one of these may lose its
   * memory.
   */
  private void claimWithoutEnd(boolean whole) {
    World.Node spare = world.idle();
    if (!whole || spare == null) {
      return;
    }
    int slot = world.chance.nextInt(addresses.length);
    VoterSet known = world.newest();
    spare.replica.learn(known);
    List<World.Node> cut = new ArrayList<>();
    for (int i = 1; i <= VoterSets.blocking(addresses.length) - 1; i++) {
      cut.add(world.nodes.get(known.voters.get((slot + i) % addresses.length).address));
    }
    for (World.Node one : cut) {
      world.cutOff(spare.address, one.address, true);
    }
    unfinished++;
    spare.replica.join(slot, known.voters.get(slot).epoch + 1);
    world.timers.schedule(
        50 + world.chance.nextInt(400),
        () -> {
          World.Node lost = cut.get(world.chance.nextInt(cut.size()));
          if (lost.up && world.covered(lost)) {
            wipedMeanwhile++;
            crash(lost, true);
          }
        });
    if (world.chance.nextInt(3) == 0) {
      World.Node one =
          world.chance.nextBoolean() ? spare : world.nodes.get(known.voters.get(slot).address);
      world.timers.schedule(50 + world.chance.nextInt(800), () -> crash(one, false));
    }
    world.timers.schedule(
        200 + world.chance.nextInt(1_000),
        () -> {
          for (World.Node one : cut) {
            world.cutOff(spare.address, one.address, false);
          }
        });
  }

  private void crash(World.Node node, boolean wiped) {
    if (!node.up) {
      return;
    }
    boolean wipe = wiped;
    node.crash();
    if (wipe) {
      wipes++;
      LossyRecords.Platter before = node.platter;
      node.wipe();
      afterWipe.accept(node, before);
    }
    crashes++;
    world.timers.schedule(
        20 + world.chance.nextInt(600),
        () -> {
          if (!node.up) {
            node.start();
          }
        });
  }

  /**
   * A process without a voter slot takes the voter slot of one that is cut off or down, which comes
   * back later.
   */
  private void replace(boolean whole) {
    World.Node idle = world.idle();
    if (!whole || idle == null || idle.replica.voterSet().voters.isEmpty()) {
      return;
    }
    int slot = world.chance.nextInt(addresses.length);
    World.Node old = world.nodes.get(idle.replica.voterSet().voters.get(slot).address);
    if (world.chance.nextBoolean()) {
      world.cutOff(old.address, true);
      world.timers.schedule(1_000, () -> world.cutOff(old.address, false));
    } else if (old.up) {
      old.crash();
      world.timers.schedule(
          1_000,
          () -> {
            if (!old.up) {
              old.start();
            }
          });
    }
    replacements++;
    idle.replica.join(slot, idle.replica.voterSet().voters.get(slot).epoch + 1);
  }
}
