package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.consensus.Register.ProposedValue;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A spare's claim that can't be finished, and another holder that loses its memory. */
class ReplacedVoterTest {
  private final SimCluster set = new SimCluster();

  private void put(String value) {
    Blob blob = new Blob();
    blob.name = "blob " + value;
    blob.bytes = new byte[9];
    set.await(
        set.client(set.initialVoters)
            .change(
                "key",
                observed -> new ProposedValue(value.getBytes(), List.of()),
                List.of(blob),
                null,
                3_000));
  }

  private String read() {
    return new String(set.await(set.client(set.initialVoters).read("key", null, 3_000)).value());
  }

  /**
   * What the last change made is only at voter slots 0 and 2; the spare's claim of voter slot 0 is
   * known at 1 alone.
   */
  private void joinOfSpareKnownAtOneVoter() {
    set.bootstrapped();
    put("old");
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.advance(20);
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    set.replicas[3].learn(set.initialVoters);
    set.replicas[3].join(0, 2);
    set.timers.advance(1_500);
    assertThat(set.replicas[1].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[3]));
    assertThat(set.replicas[3].isVoting(), is(false));
  }

  private void wipe(int i) {
    set.kill(i);
    set.disks[i].wipe();
    set.start(i);
    set.replicas[i].learn(set.replicas[1].voterSet());
  }

  private void assertAllVoteAndNothingIsLost() {
    set.awaitVoting(2, 10_000);
    set.awaitVoting(3, 10_000);
    assertThat(set.replicas[2].isVoting() && set.replicas[3].isVoting(), is(true));
    assertThat(read(), is("new"));
    set.kill(1);
    set.kill(0);
    assertThat(read(), is("new"));
    assertThat(set.replicas[2].blob("key", "blob new").length, is(9));
    assertThat(set.replicas[3].blob("key", "blob new").length, is(9));
    assertThat(set.net.handlerFaults(), empty());
  }

  @Test
  void replacedVoterStandsInForASpareThatDoesNotVote() {
    joinOfSpareKnownAtOneVoter();
    wipe(2);
    set.net.healAll();
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterStandsInAlsoIfItKnowsItsSuccessor() {
    joinOfSpareKnownAtOneVoter();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.timers.advance(20);
    assertThat(set.replicas[0].isVoting(), is(false));
    set.kill(0);
    set.start(0);
    wipe(2);
    set.net.healAll();
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterStandsInAlsoIfBothJoinsAreRestarted() {
    joinOfSpareKnownAtOneVoter();
    wipe(2);
    set.kill(3);
    set.timers.advance(700);
    set.start(3);
    set.net.healAll();
    set.timers.advance(8);
    set.kill(2);
    set.start(2);
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterThatLostItsDiskDoesNotStandIn() {
    joinOfSpareKnownAtOneVoter();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.kill(0);
    set.disks[0].wipe();
    set.start(0);
    wipe(2);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[2].isVoting() || set.replicas[3].isVoting(), is(false));
  }

  @Test
  void replacedVoterWhoseSuccessorMayVoteDoesNotStandIn() {
    joinOfSpareKnownAtOneVoter();
    set.kill(3);
    wipe(2);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[2].isVoting(), is(false));
    set.start(3);
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterJoinsAnotherSlotOnlyOnceItsSuccessorVotes() {
    joinOfSpareKnownAtOneVoter();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.replicas[0].join(1, 2);
    set.timers.advance(1_000);
    assertThat(set.replicas[0].membership.ownSlot(), is(-1));
    assertThat(set.replicas[0].acceptedValue("key"), is("new".getBytes()));
    set.net.healAll();
    set.awaitVoting(3, 5_000);
    set.replicas[0].learn(set.replicas[3].voterSet());
    set.replicas[0].join(1, 2);
    set.awaitVoting(0, 5_000);
    assertThat(set.replicas[0].voterSet().voters.get(1).address, is(SimCluster.ADDRESSES[0]));
    assertThat(set.replicas[0].isVoting(), is(true));
    assertThat(read(), is("new"));
  }

  /** It acknowledges as who it was, and has nothing of what its successor voted for. */
  @Test
  void replacedVoterIsNoSourceOnceItsSuccessorVotes() {
    set.bootstrapped();
    put("old");
    set.replicas[3].learn(set.initialVoters);
    set.replicas[3].join(0, 2);
    set.awaitVoting(3, 5_000);
    assertThat(set.replicas[0].isVoting() && set.replicas[3].isVoting(), is(true));
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.advance(20);
    set.kill(2);
    set.disks[2].wipe();
    set.start(2);
    set.replicas[2].learn(set.initialVoters);
    set.awaitVoting(2, 10_000);
    assertThat(set.replicas[2].isVoting(), is(true));
    set.kill(3);
    assertThat(read(), is("new"));
  }

  /** Else it would raise its epoch, and take the voter slot from one that has just been voting. */
  @Test
  void restartedSpareStillYieldsToARival() {
    set.bootstrapped();
    put("new");
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[1]);
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    set.replicas[3].learn(set.initialVoters);
    set.replicas[3].join(0, 2);
    set.timers.advance(500);
    wipe(0);
    set.awaitVoting(0, 5_000);
    assertThat(set.replicas[0].isVoting(), is(true));
    set.kill(3);
    set.start(3);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[0].isVoting(), is(true));
    assertThat(set.replicas[0].voterSet().voters.get(0).epoch, is(2));
    assertThat(set.replicas[3].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[0]));
  }

  /** The two that are gone refuse its calls before the third tells it of the newer voter set. */
  @Test
  void clientLearnsOfANewerVoterSetFromALateResponse() {
    set.bootstrapped();
    put("new");
    set.kill(0);
    set.replicas[3].learn(set.replicas[1].voterSet());
    set.replicas[3].join(0, 2);
    set.awaitVoting(3, 3_000);
    set.kill(1);
    set.net.delay(20, 20);
    for (int i = 0; i < 10; i++) {
      assertThat(read(), is("new"));
      put("new");
    }
  }

  private static Voter voter(String name, int epoch) {
    Voter voter = new Voter();
    voter.address = name;
    voter.instanceId = name.hashCode();
    voter.epoch = epoch;
    return voter;
  }

  private static JoinResponse response(Voter by, VoterSet knows, boolean held, boolean replaced) {
    JoinResponse response = new JoinResponse();
    response.instanceId = by.instanceId;
    response.voterSet = knows;
    response.accepted = held;
    response.recorded = !held;
    response.replaced = replaced;
    return response;
  }

  @Test
  void acknowledgerThatKnowsAnotherSuccessorBlocksTheJoin() {
    VoterSet known = new VoterSet();
    Voter spare = voter("s", 2);
    Voter predecessor = voter("a", 1);
    spare.previousAddress = predecessor.address;
    spare.previousInstanceId = predecessor.instanceId;
    spare.previousEpoch = predecessor.epoch;
    known.voters.addAll(List.of(spare, voter("b", 1), voter("x", 2)));
    VoterSet rivals = VoterSets.withVoter(known, 0, voter("r", 2));
    for (VoterSet knows : List.of(known, rivals)) {
      JoinQuorum quorum = new JoinQuorum(known, 2, known.voters.get(2).instanceId);
      assertThat(quorum.awaitsHolder(2), is(false));
      quorum.onPredecessorResponse(0, response(predecessor, known, false, true));
      quorum.onHolderResponse(0, response(spare, known, false, false));
      assertThat(quorum.sources(), nullValue());
      quorum.onHolderResponse(1, response(known.voters.get(1), knows, true, false));
      if (knows == known) {
        assertThat(quorum.sources(), hasSize(2));
        assertThat(quorum.sources().get(1).instanceId, is(predecessor.instanceId));
      } else {
        assertThat(quorum.sources(), nullValue());
        assertThat(quorum.isUnattainable(), is(true));
      }
    }
  }

  @Test
  void twoReplacedVotersAreNotEnough() {
    VoterSet known = new VoterSet();
    VoterSet old = new VoterSet();
    for (int i = 0; i < 2; i++) {
      Voter one = voter("s" + i, 2);
      Voter predecessor = voter("a" + i, 1);
      one.previousAddress = predecessor.address;
      one.previousInstanceId = predecessor.instanceId;
      one.previousEpoch = predecessor.epoch;
      known.voters.add(one);
      old.voters.add(predecessor);
    }
    known.voters.add(voter("x", 2));
    JoinQuorum quorum = new JoinQuorum(known, 2, known.voters.get(2).instanceId);
    for (int i = 0; i < 2; i++) {
      quorum.onHolderResponse(i, response(known.voters.get(i), known, false, false));
      quorum.onPredecessorResponse(i, response(old.voters.get(i), known, false, true));
    }
    assertThat(quorum.sources(), nullValue());
    assertThat(quorum.awaitsHolder(0), is(not(true)));
    assertThat(quorum.isUnattainable(), is(true));
  }
}
