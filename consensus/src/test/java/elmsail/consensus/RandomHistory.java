package elmsail.consensus;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
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
 * One random run: clients append to a key and read it while faults are injected; then the faults
 * end, and a last read is checked.
 */
final class RandomHistory {
  private static final int CLIENTS = 3;
  private static final long FAULTS_MS = 12_000;
  private static final byte[] LARGE = new byte[RelaySelector.MIN_RELAYED_BYTES];

  final FaultyCluster world;
  final LinearizabilityChecker checker = new LinearizabilityChecker();
  final RegisterClient[] clients = new RegisterClient[CLIENTS];
  Consumer<FaultyCluster.Node> onNodeCreated = node -> {};
  BiConsumer<FaultyCluster.Node, LossyRecordStore.DiskImage> onDiskWiped = (node, before) -> {};
  UnaryOperator<RpcClient> clientsCaller = rpcClient -> rpcClient;
  int changed;
  int read;
  int failed;
  int wipes;
  int crashes;
  int replacements;

  /** Joins of spares that cannot complete. */
  int unfinishedClaims;

  /** Disks of other voters that were lost meanwhile. */
  int wipesDuringClaims;

  private boolean withSpares;

  /** Whether each change carries a blob so large that its prepare is relayed. */
  private boolean largeBlobs;

  private final List<String> committedMarks = new ArrayList<>();
  private final String[] addresses;
  private long end;
  private int marks;

  RandomHistory(long seed) {
    this(seed, 3);
  }

  RandomHistory(long seed, int voters) {
    world = new FaultyCluster(seed);
    addresses = Arrays.copyOf(new String[] {"a", "b", "c", "d", "e"}, voters);
  }

  RandomHistory withUnfinishedClaims() {
    withSpares = true;
    return this;
  }

  /** Lets every change carry a blob; at the end the blob of each committed change is read. */
  RandomHistory withLargeBlobs() {
    largeBlobs = true;
    return this;
  }

  RandomHistory run() {
    VoterSet founding = world.bootstrap(addresses);
    FaultyCluster.Node spare = world.new Node("s");
    spare.start();
    for (FaultyCluster.Node node : world.nodes.values()) {
      onNodeCreated.accept(node);
    }
    world.timers.advance(100);
    world.lossRate = world.random.nextInt(3) * 0.03;
    world.duplicateRate = world.random.nextInt(3) * 0.05;
    world.maxDelayMs = 2 + world.random.nextInt(30);
    end = world.timers.now() + FAULTS_MS;
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] = world.client("client" + i, 100 + i, founding, clientsCaller);
      work(i);
    }
    injectFault();
    gossip();
    world.timers.advance(FAULTS_MS);
    world.lossRate = 0;
    world.duplicateRate = 0;
    world.cutLinks.clear();
    for (FaultyCluster.Node node : world.nodes.values()) {
      if (!node.up) {
        node.start();
      }
    }
    world.timers.advance(12_000);
    if (world.instanceInTwoSlots) {
      checker.faults.add("an instance in two voter slots");
    }
    if (!world.isRedundant(0)) {
      checker.faults.add("not voting again: " + world.state());
    }
    long from = world.timers.now();
    try {
      VersionedValue last = world.await(clients[0].read("key", null, 8_000), 9_000);
      checker.onValueRead(from, world.timers.now(), last.value());
      checker.onFinalValue(last.value());
    } catch (RuntimeException e) {
      checker.faults.add("no last read: " + e);
    }
    committedMarks.forEach(this::checkBlob);
    return this;
  }

  private void checkBlob(String mark) {
    try {
      byte[] bytes = world.await(clients[0].readBlob("key", mark, 3_000), 4_000);
      if (bytes == null || bytes.length != RelaySelector.MIN_RELAYED_BYTES) {
        checker.faults.add("committed without its blob: " + mark);
      }
    } catch (RuntimeException e) {
      checker.faults.add("no read of the blob of " + mark + ": " + e);
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
    if (world.random.nextInt(3) == 0) {
      done =
          clients[client]
              .read("key", null, 3_000)
              .whenComplete(
                  (response, failure) -> {
                    if (response != null) {
                      read++;
                      checker.onValueRead(from, world.timers.now(), response.value());
                    }
                  });
    } else {
      String mark = "m" + client + "." + marks++ + ";";
      done =
          clients[client]
              .change("key", observed -> append(observed.value(), mark), blobs(mark), null, 3_000)
              .whenComplete((committed, failure) -> onChangeResult(mark, from, committed, failure));
    }
    done.whenComplete(
        (response, failure) -> world.timers.schedule(world.random.nextInt(60), () -> work(client)));
  }

  private static ProposedValue append(byte[] value, String mark) {
    String now = LinearizabilityChecker.text(value);
    return now.contains(mark)
        ? new ProposedValue(null, List.of())
        : new ProposedValue((now + mark).getBytes(StandardCharsets.US_ASCII), List.of());
  }

  private void onChangeResult(String mark, long from, CommittedState committed, Throwable failure) {
    if (committed != null) {
      changed++;
      if (largeBlobs) {
        committedMarks.add(mark);
      }
      checker.onValueRead(from, world.timers.now(), committed.current().value());
      if (!LinearizabilityChecker.text(committed.current().value()).contains(mark)) {
        checker.faults.add("committed without its mark: " + mark);
      }
      return;
    }
    failed++;
    if (ElmsailException.codeOf(failure) == ErrorCode.NO_QUORUM) {
      checker.onNotApplied(mark);
    } else if (ElmsailException.codeOf(failure) != ErrorCode.OUTCOME_UNKNOWN) {
      checker.faults.add("failed with " + failure);
    }
  }

  private void injectFault() {
    if (world.timers.now() >= end) {
      return;
    }
    int pick = world.random.nextInt(addresses.length + 1);
    FaultyCluster.Node node = world.nodes.get(pick < addresses.length ? addresses[pick] : "s");
    boolean redundant = world.isRedundant(addresses.length / 2 - 1);
    switch (world.random.nextInt(withSpares ? 8 : 5)) {
      case 0 -> crash(node, false);
      case 1 -> crash(node, redundant);
      case 2 -> {
        world.cutOff(node.address, true);
        world.timers.schedule(world.random.nextInt(1_500), () -> world.cutOff(node.address, false));
      }
      case 3 -> replace(redundant);
      case 5, 6, 7 -> claimWithoutEnd(redundant);
      default -> {
        if (node.up) {
          node.records.writesToFail = 1;
        }
      }
    }
    world.timers.schedule(world.random.nextInt(700), this::injectFault);
  }

  /**
   * Starts the join of a spare that lacks one or two acknowledgers, of which one may lose its disk.
   */
  private void claimWithoutEnd(boolean redundant) {
    FaultyCluster.Node spare = world.idle();
    if (!redundant || spare == null) {
      return;
    }
    int slot = world.random.nextInt(addresses.length);
    VoterSet known = world.newest();
    spare.replica.learn(known);
    List<FaultyCluster.Node> cut = new ArrayList<>();
    for (int i = 1; i <= VoterSets.blockingSize(addresses.length) - 1; i++) {
      cut.add(world.nodes.get(known.voters.get((slot + i) % addresses.length).address));
    }
    for (FaultyCluster.Node one : cut) {
      world.cutOff(spare.address, one.address, true);
    }
    unfinishedClaims++;
    spare.replica.join(slot, known.voters.get(slot).epoch + 1);
    world.timers.schedule(
        50 + world.random.nextInt(400),
        () -> {
          FaultyCluster.Node lost = cut.get(world.random.nextInt(cut.size()));
          if (lost.up && world.toleratesLossOf(lost)) {
            wipesDuringClaims++;
            crash(lost, true);
          }
        });
    if (world.random.nextInt(3) == 0) {
      FaultyCluster.Node one =
          world.random.nextBoolean() ? spare : world.nodes.get(known.voters.get(slot).address);
      world.timers.schedule(50 + world.random.nextInt(800), () -> crash(one, false));
    }
    world.timers.schedule(
        200 + world.random.nextInt(1_000),
        () -> {
          for (FaultyCluster.Node one : cut) {
            world.cutOff(spare.address, one.address, false);
          }
        });
  }

  private void crash(FaultyCluster.Node node, boolean wiped) {
    if (!node.up) {
      return;
    }
    boolean wipe = wiped;
    node.crash();
    if (wipe) {
      wipes++;
      LossyRecordStore.DiskImage before = node.disk;
      node.wipe();
      onDiskWiped.accept(node, before);
    }
    crashes++;
    world.timers.schedule(
        20 + world.random.nextInt(600),
        () -> {
          if (!node.up) {
            node.start();
          }
        });
  }

  /** Lets a node without a slot take over that of one that is partitioned or down for a while. */
  private void replace(boolean redundant) {
    FaultyCluster.Node idle = world.idle();
    if (!redundant || idle == null || idle.replica.voterSet().voters.isEmpty()) {
      return;
    }
    int slot = world.random.nextInt(addresses.length);
    FaultyCluster.Node old = world.nodes.get(idle.replica.voterSet().voters.get(slot).address);
    if (world.random.nextBoolean()) {
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
