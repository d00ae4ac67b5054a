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
 * One random run. Clients append to a key and read it while faults are injected; then the faults
 * end, and the value of a final read is checked.
 */
final class RandomHistory {
  private static final int CLIENTS = 3;
  private static final long FAULTS_MS = 12_000;
  private static final byte[] LARGE_BLOB_BYTES = new byte[RelaySelector.MIN_RELAYED_BYTES];

  final FaultyCluster cluster;
  final LinearizabilityChecker checker = new LinearizabilityChecker();
  final RegisterClient[] clients = new RegisterClient[CLIENTS];
  Consumer<FaultyCluster.Node> onNodeCreated = node -> {};
  BiConsumer<FaultyCluster.Node, LossyRecordStore.DiskImage> onDiskWiped = (node, before) -> {};
  UnaryOperator<RpcClient> rpcClientWrapper = rpcClient -> rpcClient;
  int changes;
  int reads;
  int failures;
  int wipes;
  int crashes;
  int replacements;

  /** The number of joins of spares that could not complete at first. */
  int unfinishedClaims;

  /** The number of disks that other voters lost during such joins. */
  int wipesDuringClaims;

  private boolean startsUnfinishedClaims;

  /** Whether each change carries a blob so large that its prepare is relayed. */
  private boolean largeBlobs;

  /** Null if there are no such changes. */
  private DeclinedChangeHistory declinedChanges;

  private final List<String> committedMarks = new ArrayList<>();
  private final String[] addresses;
  private long end;
  private int marks;

  RandomHistory(long seed) {
    this(seed, 3);
  }

  RandomHistory(long seed, int voters) {
    cluster = new FaultyCluster(seed);
    addresses = Arrays.copyOf(new String[] {"a", "b", "c", "d", "e"}, voters);
  }

  RandomHistory withUnfinishedClaims() {
    startsUnfinishedClaims = true;
    return this;
  }

  /** Adds a blob to every change; at the end the blob of each committed change is read. */
  RandomHistory withLargeBlobs() {
    largeBlobs = true;
    return this;
  }

  /** Adds changes that may be declined after they proposed a value, each of a key of its own. */
  RandomHistory withDeclinedChanges() {
    declinedChanges = new DeclinedChangeHistory(cluster.random);
    return this;
  }

  RandomHistory run() {
    VoterSet initialVoters = cluster.bootstrap(addresses);
    FaultyCluster.Node spare = cluster.new Node("s");
    spare.start();
    for (FaultyCluster.Node node : cluster.nodes.values()) {
      onNodeCreated.accept(node);
    }
    cluster.timers.advance(100);
    cluster.lossRate = cluster.random.nextInt(3) * 0.03;
    cluster.duplicateRate = cluster.random.nextInt(3) * 0.05;
    cluster.maxDelayMs = 2 + cluster.random.nextInt(30);
    end = cluster.timers.now() + FAULTS_MS;
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] = cluster.client("client" + i, 100 + i, initialVoters, rpcClientWrapper);
      runClient(i);
    }
    injectFault();
    gossip();
    cluster.timers.advance(FAULTS_MS);
    cluster.lossRate = 0;
    cluster.duplicateRate = 0;
    cluster.cutLinks.clear();
    for (FaultyCluster.Node node : cluster.nodes.values()) {
      if (!node.up) {
        node.start();
      }
    }
    cluster.timers.advance(12_000);
    if (cluster.instanceInTwoSlots) {
      checker.violations.add("an instance in two voter slots");
    }
    if (!cluster.hasAtMostMissingVoters(0)) {
      checker.violations.add("not voting again: " + cluster.describe());
    }
    long startedAt = cluster.timers.now();
    try {
      VersionedValue finalValue = cluster.await(clients[0].read("key", null, 8_000), 9_000);
      checker.onValueRead(startedAt, cluster.timers.now(), finalValue.value());
      checker.onFinalValue(finalValue.value());
    } catch (RuntimeException e) {
      checker.violations.add("final read failed: " + e);
    }
    committedMarks.forEach(this::checkBlob);
    if (declinedChanges != null) {
      declinedChanges.checkAtEnd(cluster, addresses, clients[0], checker);
    }
    return this;
  }

  /** The number of changes that were declined after they had proposed a value. */
  int declinedAfterProposal() {
    return declinedChanges == null ? 0 : declinedChanges.declinedAfterProposal();
  }

  private void checkBlob(String mark) {
    try {
      byte[] bytes = cluster.await(clients[0].readBlob("key", mark, 3_000), 4_000);
      if (bytes == null || bytes.length != RelaySelector.MIN_RELAYED_BYTES) {
        checker.violations.add("change was committed without its blob: " + mark);
      }
    } catch (RuntimeException e) {
      checker.violations.add("failed to read the blob of " + mark + ": " + e);
    }
  }

  private List<Blob> blobs(String mark) {
    if (!largeBlobs) {
      return List.of();
    }
    Blob blob = new Blob();
    blob.name = mark;
    blob.bytes = LARGE_BLOB_BYTES;
    return List.of(blob);
  }

  private void gossip() {
    cluster.gossip();
    cluster.timers.schedule(100, this::gossip);
  }

  private void runClient(int client) {
    if (cluster.timers.now() >= end) {
      return;
    }
    long startedAt = cluster.timers.now();
    CompletableFuture<?> done;
    if (declinedChanges != null && cluster.random.nextInt(3) > 0) {
      done = declinedChanges.runOne(clients[client]);
    } else if (cluster.random.nextInt(3) == 0) {
      done =
          clients[client]
              .read("key", null, 3_000)
              .whenComplete(
                  (response, failure) -> {
                    if (response != null) {
                      reads++;
                      checker.onValueRead(startedAt, cluster.timers.now(), response.value());
                    }
                  });
    } else {
      String mark = "m" + client + "." + marks++ + ";";
      done =
          clients[client]
              .change("key", observed -> append(observed.value(), mark), blobs(mark), null, 3_000)
              .whenComplete(
                  (committed, failure) -> onChangeResult(mark, startedAt, committed, failure));
    }
    done.whenComplete(
        (response, failure) ->
            cluster.timers.schedule(cluster.random.nextInt(60), () -> runClient(client)));
  }

  private static ProposedValue append(byte[] value, String mark) {
    String now = LinearizabilityChecker.text(value);
    return now.contains(mark)
        ? new ProposedValue(null, List.of())
        : new ProposedValue((now + mark).getBytes(StandardCharsets.US_ASCII), List.of());
  }

  private void onChangeResult(
      String mark, long startedAt, CommittedState committed, Throwable failure) {
    if (committed != null) {
      changes++;
      if (largeBlobs) {
        committedMarks.add(mark);
      }
      checker.onValueRead(startedAt, cluster.timers.now(), committed.current().value());
      if (!LinearizabilityChecker.text(committed.current().value()).contains(mark)) {
        checker.violations.add("change was committed without its mark: " + mark);
      }
      return;
    }
    failures++;
    if (ElmsailException.codeOf(failure) == ErrorCode.NO_QUORUM) {
      checker.onNotApplied(mark);
    } else if (ElmsailException.codeOf(failure) != ErrorCode.OUTCOME_UNKNOWN) {
      checker.violations.add("change failed with " + failure);
    }
  }

  private void injectFault() {
    if (cluster.timers.now() >= end) {
      return;
    }
    int pick = cluster.random.nextInt(addresses.length + 1);
    FaultyCluster.Node node = cluster.nodes.get(pick < addresses.length ? addresses[pick] : "s");
    boolean toleratesLoss = cluster.hasAtMostMissingVoters(addresses.length / 2 - 1);
    switch (cluster.random.nextInt(startsUnfinishedClaims ? 8 : 5)) {
      case 0 -> crash(node, false);
      case 1 -> crash(node, toleratesLoss);
      case 2 -> {
        cluster.setPartitioned(node.address, true);
        cluster.timers.schedule(
            cluster.random.nextInt(1_500), () -> cluster.setPartitioned(node.address, false));
      }
      case 3 -> replaceBySpare(toleratesLoss);
      case 5, 6, 7 -> startUnfinishedClaim(toleratesLoss);
      default -> {
        if (node.up) {
          node.records.batchesToFail = 1;
        }
      }
    }
    cluster.timers.schedule(cluster.random.nextInt(700), this::injectFault);
  }

  /**
   * Starts the join of a spare that can't reach one or two acknowledgers, one of which may lose its
   * disk.
   */
  private void startUnfinishedClaim(boolean toleratesLoss) {
    FaultyCluster.Node spare = cluster.nonVotingNode();
    if (!toleratesLoss || spare == null) {
      return;
    }
    int slot = cluster.random.nextInt(addresses.length);
    VoterSet known = cluster.newestVoterSet();
    spare.replica.learn(known);
    List<FaultyCluster.Node> cut = new ArrayList<>();
    for (int i = 1; i <= VoterSets.blockingSize(addresses.length) - 1; i++) {
      cut.add(cluster.nodes.get(known.voters.get((slot + i) % addresses.length).address));
    }
    for (FaultyCluster.Node node : cut) {
      cluster.setPartitioned(spare.address, node.address, true);
    }
    unfinishedClaims++;
    spare.replica.join(slot, known.voters.get(slot).epoch + 1);
    cluster.timers.schedule(
        50 + cluster.random.nextInt(400),
        () -> {
          FaultyCluster.Node lost = cut.get(cluster.random.nextInt(cut.size()));
          if (lost.up && cluster.toleratesDiskLossOf(lost)) {
            wipesDuringClaims++;
            crash(lost, true);
          }
        });
    if (cluster.random.nextInt(3) == 0) {
      FaultyCluster.Node node =
          cluster.random.nextBoolean() ? spare : cluster.nodes.get(known.voters.get(slot).address);
      cluster.timers.schedule(50 + cluster.random.nextInt(800), () -> crash(node, false));
    }
    cluster.timers.schedule(
        200 + cluster.random.nextInt(1_000),
        () -> {
          for (FaultyCluster.Node node : cut) {
            cluster.setPartitioned(spare.address, node.address, false);
          }
        });
  }

  private void crash(FaultyCluster.Node node, boolean withDiskLoss) {
    if (!node.up) {
      return;
    }
    boolean wipe = withDiskLoss;
    node.crash();
    if (wipe) {
      wipes++;
      LossyRecordStore.DiskImage before = node.disk;
      node.wipeDisk();
      onDiskWiped.accept(node, before);
    }
    crashes++;
    cluster.timers.schedule(
        20 + cluster.random.nextInt(600),
        () -> {
          if (!node.up) {
            node.start();
          }
        });
  }

  /** Replaces a voter that is partitioned or down for a while by a node without a slot. */
  private void replaceBySpare(boolean toleratesLoss) {
    FaultyCluster.Node spare = cluster.nonVotingNode();
    if (!toleratesLoss || spare == null || spare.replica.voterSet().voters.isEmpty()) {
      return;
    }
    int slot = cluster.random.nextInt(addresses.length);
    FaultyCluster.Node old = cluster.nodes.get(spare.replica.voterSet().voters.get(slot).address);
    if (cluster.random.nextBoolean()) {
      cluster.setPartitioned(old.address, true);
      cluster.timers.schedule(1_000, () -> cluster.setPartitioned(old.address, false));
    } else if (old.up) {
      old.crash();
      cluster.timers.schedule(
          1_000,
          () -> {
            if (!old.up) {
              old.start();
            }
          });
    }
    replacements++;
    spare.replica.join(slot, spare.replica.voterSet().voters.get(slot).epoch + 1);
  }
}
