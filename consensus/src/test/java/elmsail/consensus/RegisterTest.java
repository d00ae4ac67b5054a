package elmsail.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.rpc.messages.AcceptRequest;
import elmsail.rpc.messages.PrepareRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.simulation.SimNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;

/** Reads, changes, blobs and joins of one register on a simulated network. */
class RegisterTest {
  private final SimCluster cluster = new SimCluster();

  private CompletableFuture<CommittedState> put(Register client, String key, String value) {
    return client.change(
        key,
        observed -> new ProposedValue(value.getBytes(UTF_8), List.of()),
        List.of(),
        null,
        3_000);
  }

  private String read(Register client, String key) {
    byte[] value = cluster.await(client.read(key, null, 3_000)).value();
    return value == null ? null : new String(value, UTF_8);
  }

  private String append(Register client, String mark) {
    CommittedState committed =
        cluster.await(
            client.change(
                "key",
                observed ->
                    new ProposedValue(
                        (new String(observed.value(), UTF_8) + mark).getBytes(UTF_8), List.of()),
                List.of(),
                null,
                3_000));
    return new String(committed.current().value(), UTF_8);
  }

  private ErrorCode failure(CompletableFuture<?> future) {
    return ElmsailException.codeOf(
        assertThrows(CompletionException.class, () -> cluster.await(future)));
  }

  @Test
  void bootstrapMakesVotersAtOnceAndOnlyOnce() {
    assertThat(cluster.replicas[0].isVoting(), is(false));
    cluster.bootstrapped();
    assertThat(
        cluster.replicas[0].isVoting()
            && cluster.replicas[1].isVoting()
            && cluster.replicas[2].isVoting(),
        is(true));
    assertThat(cluster.replicas[3].isVoting(), is(false));
    cluster.disks[0].wipe();
    cluster.start(0);
    cluster.replicas[0].bootstrap(cluster.initialVoters);
    cluster.timers.advance(20);
    assertThat(cluster.replicas[0].isVoting(), is(false));
  }

  @Test
  void committedChangeIsReadByOtherClients() {
    cluster.bootstrapped();
    assertThat(read(cluster.client(cluster.initialVoters), "key"), nullValue());
    assertThat(
        cluster.await(put(cluster.client(cluster.initialVoters), "key", "one")).changed(),
        is(true));
    Register other = cluster.client(cluster.initialVoters);
    assertThat(read(other, "key"), is("one"));
    VersionedValue now = cluster.await(other.read("key", null, 1_000));
    assertThat(cluster.await(other.read("key", now.ballot(), 1_000)).value(), nullValue());
  }

  @Test
  void repeatedChangesSkipThePreparePhase() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.await(put(client, "key", "1"));
    cluster.await(put(client, "key", "2"));
    assertThat(cluster.requestCounts.get("PrepareRequest"), is(6));
    cluster.await(put(client, "key", "3"));
    cluster.await(put(client, "key", "4"));
    assertThat(cluster.requestCounts.get("PrepareRequest"), is(6));
    Register other = cluster.client(cluster.initialVoters);
    cluster.await(put(other, "key", "5"));
    assertThat(append(client, "6"), is("56"));
  }

  @Test
  void emptyValueIsNotAbsent() {
    cluster.bootstrapped();
    cluster.await(put(cluster.client(cluster.initialVoters), "key", ""));
    assertThat(read(cluster.client(cluster.initialVoters), "key"), is(""));
    assertThat(read(cluster.client(cluster.initialVoters), "other"), nullValue());
  }

  @Test
  void soleVoterThatLostItsDiskNeverVotes() {
    cluster.initialVoters.voters.subList(1, 3).clear();
    cluster.replicas[0].bootstrap(cluster.initialVoters);
    cluster.timers.advance(30);
    cluster.await(put(cluster.client(cluster.initialVoters), "key", "1"));
    cluster.kill(0);
    cluster.disks[0].wipe();
    cluster.start(0);
    cluster.replicas[0].learn(cluster.initialVoters);
    cluster.timers.advance(10_000);
    assertThat(cluster.replicas[0].isVoting(), is(false));
  }

  @Test
  void declinedChangeReturnsTheCommittedValue() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.await(put(client, "key", "1"));
    CommittedState committed =
        cluster.await(
            client.change(
                "key", observed -> new ProposedValue(null, List.of()), List.of(), null, 1_000));
    assertThat(committed.changed(), is(false));
    assertThat(new String(committed.current().value(), UTF_8), is("1"));
  }

  @Test
  void readRepairsAValueThatOneVoterAccepted() {
    cluster.bootstrapped();
    SimNode proposer = cluster.net.startNode("10.0.2.1:7");
    PrepareRequest prepare = new PrepareRequest();
    prepare.set = "set";
    prepare.key = "key";
    prepare.ballot = Ballots.of(1, 5);
    prepare.voterSet = cluster.initialVoters;
    AcceptRequest accept = new AcceptRequest();
    accept.set = "set";
    accept.key = "key";
    accept.ballot = Ballots.of(1, 5);
    accept.voterSet = cluster.initialVoters;
    accept.value = "half".getBytes(UTF_8);
    cluster.await(proposer.call(SimCluster.ADDRESSES[0], prepare, VoteResponse.class, 500));
    cluster.await(proposer.call(SimCluster.ADDRESSES[1], prepare, VoteResponse.class, 500));
    cluster.await(proposer.call(SimCluster.ADDRESSES[0], accept, VoteResponse.class, 500));
    cluster.kill(2);
    assertThat(read(cluster.client(cluster.initialVoters), "key"), is("half"));
    cluster.kill(0);
    cluster.start(2);
    cluster.timers.advance(100);
    assertThat(read(cluster.client(cluster.initialVoters), "key"), is("half"));
  }

  @Test
  void withoutAMajorityTheOutcomeIsNoQuorumOrUnknown() {
    cluster.bootstrapped();
    cluster.kill(0);
    cluster.kill(1);
    assertThat(
        failure(put(cluster.client(cluster.initialVoters), "key", "1")), is(ErrorCode.NO_QUORUM));
    assertThat(
        failure(cluster.client(cluster.initialVoters).read("key", null, 700)),
        is(ErrorCode.NO_QUORUM));
    cluster.start(0);
    cluster.start(1);
    cluster.timers.advance(100);
    Register client = cluster.client(cluster.initialVoters);
    CompletableFuture<CommittedState> change =
        client.change(
            "key",
            observed -> {
              cluster.kill(0);
              cluster.kill(1);
              return new ProposedValue("2".getBytes(UTF_8), List.of());
            },
            List.of(),
            null,
            1_000);
    assertThat(failure(change), is(ErrorCode.OUTCOME_UNKNOWN));
  }

  @Test
  void clientLearnsOfANewerVoterSet() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.await(put(client, "key", "1"));
    cluster.kill(0);
    cluster.disks[0].wipe();
    cluster.start(0);
    cluster.replicas[0].learn(cluster.replicas[1].voterSet());
    cluster.awaitVoting(0, 2_000);
    assertThat(cluster.replicas[0].voterSet().voters.get(0).epoch, is(2));
    assertThat(new String(cluster.replicas[0].acceptedValue("key"), UTF_8), is("1"));
    cluster.await(put(client, "key", "2"));
    assertThat(read(client, "key"), is("2"));
  }

  @Test
  void blobsAreStoredWhereThePrepareIsPromised() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.kill(2);
    CommittedState committed =
        cluster.await(
            client.change(
                "lot/1",
                observed ->
                    new ProposedValue("v".getBytes(UTF_8), List.of(SimCluster.blob("two", 9))),
                List.of(SimCluster.blob("one", 5_000)),
                null,
                3_000));
    assertThat(committed.changed(), is(true));
    for (int i = 0; i < 2; i++) {
      assertThat(cluster.replicas[i].blob("lot/1", "one").length, is(5_000));
      assertThat(cluster.replicas[i].blob("lot/1", "two").length, is(9));
    }
    assertThat(cluster.await(client.readBlob("lot/1", "one", 3_000)).length, is(5_000));
    assertThat(cluster.await(client.readBlob("lot/1", "none", 3_000)), nullValue());
    cluster.kill(1);
    assertThat(failure(client.readBlob("lot/1", "none", 1_000)), is(ErrorCode.NO_QUORUM));
    List<String> keys = new ArrayList<>();
    cluster.replicas[0].keys().forEach(keys::add);
    assertThat(keys, contains("lot/1"));
    cluster.replicas[0].dropKey("lot/1");
    assertThat(cluster.replicas[0].blob("lot/1", "one"), nullValue());
    assertThat(cluster.replicas[0].keys().iterator().hasNext(), is(false));
  }

  @Test
  void joinOfTenMegabytesTakesLessThanOneSecond() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    for (int i = 0; i < 100; i++) {
      cluster.await(
          client.change(
              "lot/" + i,
              observed -> new ProposedValue(new byte[200], List.of()),
              List.of(SimCluster.blob("body", 100_000)),
              null,
              3_000));
    }
    cluster.timers.advance(500);
    cluster.kill(1);
    cluster.disks[1].wipe();
    cluster.start(1);
    long from = cluster.timers.now();
    cluster.replicas[1].learn(cluster.replicas[0].voterSet());
    cluster.awaitVoting(1, 10_000);
    assertThat(cluster.timers.now() - from, lessThan(1_000L));
    for (int i = 0; i < 100; i++) {
      assertThat(cluster.replicas[1].acceptedValue("lot/" + i).length, is(200));
      assertThat(cluster.replicas[1].blob("lot/" + i, "body").length, is(100_000));
    }
  }

  @Test
  void joinContinuesAfterAPowerLoss() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.await(
        client.change(
            "key",
            observed -> new ProposedValue("1".getBytes(UTF_8), List.of()),
            List.of(SimCluster.blob("b", 50)),
            null,
            3_000));
    cluster.kill(1);
    cluster.disks[1].wipe();
    cluster.start(1);
    cluster.net.cutBoth(SimCluster.ADDRESSES[1], SimCluster.ADDRESSES[2]);
    cluster.replicas[1].learn(cluster.replicas[0].voterSet());
    cluster.timers.advance(1_500);
    assertThat(cluster.replicas[1].isVoting(), is(false));
    long instanceId = cluster.disks[1].instanceId();
    cluster.kill(1);
    cluster.net.healAll();
    cluster.start(1);
    cluster.awaitVoting(1, 3_000);
    assertThat(cluster.disks[1].instanceId(), is(instanceId));
    assertThat(cluster.replicas[1].isVoting(), is(true));
    assertThat(new String(cluster.replicas[1].acceptedValue("key"), UTF_8), is("1"));
  }

  @Test
  void spareTakesOverASlotAndItsFormerVoterStopsVoting() {
    cluster.bootstrapped();
    Register client = cluster.client(cluster.initialVoters);
    cluster.await(put(client, "key", "1"));
    List<Boolean> votingStates = new ArrayList<>();
    cluster.replicas[3].addVotingListener(() -> votingStates.add(cluster.replicas[3].isVoting()));
    cluster.kill(0);
    cluster.replicas[3].learn(cluster.replicas[1].voterSet());
    cluster.replicas[3].join(0, 2);
    cluster.awaitVoting(3, 3_000);
    assertThat(votingStates, contains(true));
    cluster.start(0);
    cluster.timers.advance(20);
    assertThat(cluster.replicas[0].isVoting(), is(true));
    cluster.kill(1);
    assertThat(append(client, "2"), is("12"));
    cluster.replicas[0].learn(cluster.replicas[2].voterSet());
    assertThat(cluster.replicas[0].isVoting(), is(false));
    cluster.timers.advance(20);
    assertThat(cluster.replicas[0].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[3]));
  }

  @Test
  void spareDoesNotVoteAfterOneAcknowledgement() {
    cluster.bootstrapped();
    cluster.kill(0);
    cluster.kill(1);
    cluster.replicas[3].learn(cluster.replicas[2].voterSet());
    cluster.replicas[3].join(0, 2);
    cluster.timers.advance(10_000);
    assertThat(cluster.replicas[3].isVoting(), is(false));
    cluster.start(1);
    cluster.awaitVoting(3, 3_000);
    assertThat(cluster.replicas[3].isVoting(), is(true));
  }

  @Test
  void valuesThatAreNotAdmittedAreProposedThreeTimes() {
    cluster.bootstrapped();
    for (int i = 0; i < 3; i++) {
      cluster.listeners[i] =
          new ReplicaListener() {
            @Override
            public byte[] onSideEffect(String key, byte[] sideEffect) {
              return new byte[] {(byte) (sideEffect[0] + 1)};
            }

            @Override
            public boolean admits(String key, byte[] value) {
              return false;
            }
          };
      cluster.start(i);
    }
    cluster.timers.advance(20);
    List<Integer> sideEffects = new ArrayList<>();
    CompletableFuture<CommittedState> change =
        cluster
            .client(cluster.initialVoters)
            .change(
                "key",
                observed -> {
                  for (byte[] sideEffect : observed.sideEffects()) {
                    sideEffects.add((int) sideEffect[0]);
                  }
                  return new ProposedValue("x".getBytes(UTF_8), List.of());
                },
                List.of(),
                new byte[] {4},
                10_000);
    assertThat(failure(change), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(sideEffects, equalTo(List.of(5, 5, 5, 5, 5, 5)));
  }

  @Test
  void voterWithFailingDiskCastsNoVote() {
    cluster.bootstrapped();
    cluster.disks[0].failWrites();
    cluster.disks[1].failWrites();
    Register client = cluster.client(cluster.initialVoters);
    assertThat(failure(put(client, "key", "1")), is(ErrorCode.NO_QUORUM));
    cluster.disks[0].allowWrites();
    cluster.disks[1].allowWrites();
    cluster.timers.advance(400);
    assertThat(cluster.await(put(client, "key", "2")).changed(), is(true));
    assertThat(cluster.net.handlerFaults(), empty());
  }

  @Test
  void concurrentChangesAllCommit() {
    cluster.bootstrapped();
    List<CompletableFuture<CommittedState>> all = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      char mark = (char) ('a' + i);
      all.add(
          cluster
              .client(cluster.initialVoters)
              .change(
                  "key",
                  observed -> {
                    String now =
                        observed.value() == null ? "" : new String(observed.value(), UTF_8);
                    return now.indexOf(mark) >= 0
                        ? new ProposedValue(null, List.of())
                        : new ProposedValue((now + mark).getBytes(UTF_8), List.of());
                  },
                  List.of(),
                  null,
                  10_000));
    }
    long from = cluster.timers.now();
    for (CompletableFuture<CommittedState> change : all) {
      cluster.await(change);
    }
    System.out.println(
        "five concurrent changes of one key: " + (cluster.timers.now() - from) + " ms");
    assertThat(read(cluster.client(cluster.initialVoters), "key").length(), is(5));
    assertThat(cluster.timers.now() - from, lessThan(2_000L));
    assertThat(cluster.requestCounts.get("AcceptRequest"), greaterThanOrEqualTo(15));
  }
}
