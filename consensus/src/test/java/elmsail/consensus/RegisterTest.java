package elmsail.consensus;

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
import elmsail.rpc.messages.Blob;
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

class RegisterTest {
  private final SimCluster set = new SimCluster();

  private CompletableFuture<CommittedState> put(Register client, String key, String value) {
    return client.change(
        key, observed -> new ProposedValue(value.getBytes(), List.of()), List.of(), null, 3_000);
  }

  private String read(Register client, String key) {
    byte[] value = set.await(client.read(key, null, 3_000)).value();
    return value == null ? null : new String(value);
  }

  private String append(Register client, String mark) {
    CommittedState committed =
        set.await(
            client.change(
                "key",
                observed ->
                    new ProposedValue((new String(observed.value()) + mark).getBytes(), List.of()),
                List.of(),
                null,
                3_000));
    return new String(committed.current().value());
  }

  private ErrorCode failure(CompletableFuture<?> future) {
    return ElmsailException.codeOf(
        assertThrows(CompletionException.class, () -> set.await(future)));
  }

  private static Blob blob(String name, int bytes) {
    Blob blob = new Blob();
    blob.name = name;
    blob.bytes = new byte[bytes];
    return blob;
  }

  @Test
  void bootstrapMakesVotersAtOnceAndOnlyOnce() {
    assertThat(set.replicas[0].isVoting(), is(false));
    set.bootstrapped();
    assertThat(
        set.replicas[0].isVoting() && set.replicas[1].isVoting() && set.replicas[2].isVoting(),
        is(true));
    assertThat(set.replicas[3].isVoting(), is(false));
    set.disks[0].wipe();
    set.start(0);
    set.replicas[0].bootstrap(set.initialVoters);
    set.timers.advance(20);
    assertThat(set.replicas[0].isVoting(), is(false));
  }

  @Test
  void committedChangeIsReadByOtherClients() {
    set.bootstrapped();
    assertThat(read(set.client(set.initialVoters), "key"), nullValue());
    assertThat(set.await(put(set.client(set.initialVoters), "key", "one")).changed(), is(true));
    Register other = set.client(set.initialVoters);
    assertThat(read(other, "key"), is("one"));
    VersionedValue now = set.await(other.read("key", null, 1_000));
    assertThat(set.await(other.read("key", now.ballot(), 1_000)).value(), nullValue());
  }

  @Test
  void repeatedChangesSkipThePreparePhase() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.await(put(client, "key", "1"));
    set.await(put(client, "key", "2"));
    assertThat(set.requestCounts.get("PrepareRequest"), is(6));
    set.await(put(client, "key", "3"));
    set.await(put(client, "key", "4"));
    assertThat(set.requestCounts.get("PrepareRequest"), is(6));
    Register other = set.client(set.initialVoters);
    set.await(put(other, "key", "5"));
    assertThat(append(client, "6"), is("56"));
  }

  @Test
  void emptyValueIsNotAbsent() {
    set.bootstrapped();
    set.await(put(set.client(set.initialVoters), "key", ""));
    assertThat(read(set.client(set.initialVoters), "key"), is(""));
    assertThat(read(set.client(set.initialVoters), "other"), nullValue());
  }

  @Test
  void onlyVoterThatLostItsDiskNeverVotes() {
    set.initialVoters.voters.subList(1, 3).clear();
    set.replicas[0].bootstrap(set.initialVoters);
    set.timers.advance(30);
    set.await(put(set.client(set.initialVoters), "key", "1"));
    set.kill(0);
    set.disks[0].wipe();
    set.start(0);
    set.replicas[0].learn(set.initialVoters);
    set.timers.advance(10_000);
    assertThat(set.replicas[0].isVoting(), is(false));
  }

  @Test
  void declinedChangeReturnsTheCommittedValue() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.await(put(client, "key", "1"));
    CommittedState committed =
        set.await(
            client.change(
                "key", observed -> new ProposedValue(null, List.of()), List.of(), null, 1_000));
    assertThat(committed.changed(), is(false));
    assertThat(new String(committed.current().value()), is("1"));
  }

  @Test
  void readRepairsAValueThatOneVoterAccepted() {
    set.bootstrapped();
    SimNode asker = set.net.startNode("10.0.2.1:7");
    PrepareRequest prepare = new PrepareRequest();
    prepare.set = "set";
    prepare.key = "key";
    prepare.ballot = Ballots.of(1, 5);
    prepare.voterSet = set.initialVoters;
    AcceptRequest accept = new AcceptRequest();
    accept.set = "set";
    accept.key = "key";
    accept.ballot = Ballots.of(1, 5);
    accept.voterSet = set.initialVoters;
    accept.value = "half".getBytes();
    set.await(asker.call(SimCluster.ADDRESSES[0], prepare, VoteResponse.class, 500));
    set.await(asker.call(SimCluster.ADDRESSES[1], prepare, VoteResponse.class, 500));
    set.await(asker.call(SimCluster.ADDRESSES[0], accept, VoteResponse.class, 500));
    set.kill(2);
    assertThat(read(set.client(set.initialVoters), "key"), is("half"));
    set.kill(0);
    set.start(2);
    set.timers.advance(100);
    assertThat(read(set.client(set.initialVoters), "key"), is("half"));
  }

  @Test
  void withoutAMajorityTheOutcomeIsNoQuorumOrUnknown() {
    set.bootstrapped();
    set.kill(0);
    set.kill(1);
    assertThat(failure(put(set.client(set.initialVoters), "key", "1")), is(ErrorCode.NO_QUORUM));
    assertThat(
        failure(set.client(set.initialVoters).read("key", null, 700)), is(ErrorCode.NO_QUORUM));
    set.start(0);
    set.start(1);
    set.timers.advance(100);
    Register client = set.client(set.initialVoters);
    CompletableFuture<CommittedState> change =
        client.change(
            "key",
            observed -> {
              set.kill(0);
              set.kill(1);
              return new ProposedValue("2".getBytes(), List.of());
            },
            List.of(),
            null,
            1_000);
    assertThat(failure(change), is(ErrorCode.OUTCOME_UNKNOWN));
  }

  @Test
  void clientLearnsOfANewerVoterSet() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.await(put(client, "key", "1"));
    set.kill(0);
    set.disks[0].wipe();
    set.start(0);
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.awaitVoting(0, 2_000);
    assertThat(set.replicas[0].voterSet().voters.get(0).epoch, is(2));
    assertThat(new String(set.replicas[0].acceptedValue("key")), is("1"));
    set.await(put(client, "key", "2"));
    assertThat(read(client, "key"), is("2"));
  }

  @Test
  void blobsAreStoredWhereThePrepareIsPromised() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.kill(2);
    CommittedState committed =
        set.await(
            client.change(
                "lot/1",
                observed -> new ProposedValue("v".getBytes(), List.of(blob("two", 9))),
                List.of(blob("one", 5_000)),
                null,
                3_000));
    assertThat(committed.changed(), is(true));
    for (int i = 0; i < 2; i++) {
      assertThat(set.replicas[i].blob("lot/1", "one").length, is(5_000));
      assertThat(set.replicas[i].blob("lot/1", "two").length, is(9));
    }
    assertThat(set.await(client.readBlob("lot/1", "one", 3_000)).length, is(5_000));
    assertThat(set.await(client.readBlob("lot/1", "none", 3_000)), nullValue());
    set.kill(1);
    assertThat(failure(client.readBlob("lot/1", "none", 1_000)), is(ErrorCode.NO_QUORUM));
    List<String> keys = new ArrayList<>();
    set.replicas[0].keys().forEach(keys::add);
    assertThat(keys, contains("lot/1"));
    set.replicas[0].dropKey("lot/1");
    assertThat(set.replicas[0].blob("lot/1", "one"), nullValue());
    assertThat(set.replicas[0].keys().iterator().hasNext(), is(false));
  }

  @Test
  void joinOfTenMegabytesTakesLessThanOneSecond() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    for (int i = 0; i < 100; i++) {
      set.await(
          client.change(
              "lot/" + i,
              observed -> new ProposedValue(new byte[200], List.of()),
              List.of(blob("body", 100_000)),
              null,
              3_000));
    }
    set.timers.advance(500);
    set.kill(1);
    set.disks[1].wipe();
    set.start(1);
    long from = set.timers.now();
    set.replicas[1].learn(set.replicas[0].voterSet());
    set.awaitVoting(1, 10_000);
    assertThat(set.timers.now() - from, lessThan(1_000L));
    for (int i = 0; i < 100; i++) {
      assertThat(set.replicas[1].acceptedValue("lot/" + i).length, is(200));
      assertThat(set.replicas[1].blob("lot/" + i, "body").length, is(100_000));
    }
  }

  @Test
  void joinContinuesAfterAPowerLoss() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.await(
        client.change(
            "key",
            observed -> new ProposedValue("1".getBytes(), List.of()),
            List.of(blob("b", 50)),
            null,
            3_000));
    set.kill(1);
    set.disks[1].wipe();
    set.start(1);
    set.net.cutBoth(SimCluster.ADDRESSES[1], SimCluster.ADDRESSES[2]);
    set.replicas[1].learn(set.replicas[0].voterSet());
    set.timers.advance(1_500);
    assertThat(set.replicas[1].isVoting(), is(false));
    long instanceId = set.disks[1].instanceId();
    set.kill(1);
    set.net.healAll();
    set.start(1);
    set.awaitVoting(1, 3_000);
    assertThat(set.disks[1].instanceId(), is(instanceId));
    assertThat(set.replicas[1].isVoting(), is(true));
    assertThat(new String(set.replicas[1].acceptedValue("key")), is("1"));
  }

  @Test
  void spareTakesOverASlotAndItsFormerVoterStopsVoting() {
    set.bootstrapped();
    Register client = set.client(set.initialVoters);
    set.await(put(client, "key", "1"));
    List<Boolean> response = new ArrayList<>();
    set.replicas[3].addVotingListener(() -> response.add(set.replicas[3].isVoting()));
    set.kill(0);
    set.replicas[3].learn(set.replicas[1].voterSet());
    set.replicas[3].join(0, 2);
    set.awaitVoting(3, 3_000);
    assertThat(response, contains(true));
    set.start(0);
    set.timers.advance(20);
    assertThat(set.replicas[0].isVoting(), is(true));
    set.kill(1);
    assertThat(append(client, "2"), is("12"));
    set.replicas[0].learn(set.replicas[2].voterSet());
    assertThat(set.replicas[0].isVoting(), is(false));
    set.timers.advance(20);
    assertThat(set.replicas[0].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[3]));
  }

  @Test
  void spareDoesNotVoteAfterOneAcknowledgement() {
    set.bootstrapped();
    set.kill(0);
    set.kill(1);
    set.replicas[3].learn(set.replicas[2].voterSet());
    set.replicas[3].join(0, 2);
    set.timers.advance(10_000);
    assertThat(set.replicas[3].isVoting(), is(false));
    set.start(1);
    set.awaitVoting(3, 3_000);
    assertThat(set.replicas[3].isVoting(), is(true));
  }

  @Test
  void valuesThatAreNotAdmittedAreProposedThreeTimes() {
    set.bootstrapped();
    for (int i = 0; i < 3; i++) {
      set.listeners[i] =
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
      set.start(i);
    }
    set.timers.advance(20);
    List<Integer> notes = new ArrayList<>();
    CompletableFuture<CommittedState> change =
        set.client(set.initialVoters)
            .change(
                "key",
                observed -> {
                  for (byte[] sideEffect : observed.sideEffects()) {
                    notes.add((int) sideEffect[0]);
                  }
                  return new ProposedValue("x".getBytes(), List.of());
                },
                List.of(),
                new byte[] {4},
                10_000);
    assertThat(failure(change), is(ErrorCode.OUTCOME_UNKNOWN));
    assertThat(notes, equalTo(List.of(5, 5, 5, 5, 5, 5)));
  }

  @Test
  void failingDiskCastsNoVote() {
    set.bootstrapped();
    set.disks[0].failWrites();
    set.disks[1].failWrites();
    Register client = set.client(set.initialVoters);
    assertThat(failure(put(client, "key", "1")), is(ErrorCode.NO_QUORUM));
    set.disks[0].allowWrites();
    set.disks[1].allowWrites();
    set.timers.advance(400);
    assertThat(set.await(put(client, "key", "2")).changed(), is(true));
    assertThat(set.net.handlerFaults(), empty());
  }

  @Test
  void concurrentChangesAllCommit() {
    set.bootstrapped();
    List<CompletableFuture<CommittedState>> all = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      char mark = (char) ('a' + i);
      all.add(
          set.client(set.initialVoters)
              .change(
                  "key",
                  observed -> {
                    String now = observed.value() == null ? "" : new String(observed.value());
                    return now.indexOf(mark) >= 0
                        ? new ProposedValue(null, List.of())
                        : new ProposedValue((now + mark).getBytes(), List.of());
                  },
                  List.of(),
                  null,
                  10_000));
    }
    long from = set.timers.now();
    for (CompletableFuture<CommittedState> one : all) {
      set.await(one);
    }
    System.out.println("five changers of one key: " + (set.timers.now() - from) + " ms");
    assertThat(read(set.client(set.initialVoters), "key").length(), is(5));
    assertThat(set.timers.now() - from, lessThan(2_000L));
    assertThat(set.requestCounts.get("AcceptRequest"), greaterThanOrEqualTo(15));
  }
}
