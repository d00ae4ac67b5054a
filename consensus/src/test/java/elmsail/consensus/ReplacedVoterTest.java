package elmsail.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The join of a spare is blocked, and a voter of another slot loses its disk and joins again. Each
 * of the two joins waits for the other, unless the voter that the spare replaces may be a source of
 * records. A replaced voter may be a source only while its successor doesn't vote, else committed
 * values are lost.
 */
class ReplacedVoterTest {
  private final SimCluster cluster = new SimCluster();

  private void put(String value) {
    cluster.put(value, SimCluster.blob("blob " + value, 9));
  }

  /** Only voters 0 and 2 have the last change; only voter 1 knows the spare's claim of slot 0. */
  private void joinOfSpareKnownAtOneVoter() {
    cluster.bootstrapped();
    put("old");
    cluster.kill(1);
    put("new");
    cluster.start(1);
    cluster.timers.advance(20);
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(0, 2);
    cluster.timers.advance(1_500);
    assertThat(cluster.replicas[1].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[3]));
    assertThat(cluster.replicas[3].isVoting(), is(false));
  }

  private void wipeDiskAndRestart(int i) {
    cluster.kill(i);
    cluster.disks[i].wipe();
    cluster.start(i);
    cluster.replicas[i].learn(cluster.replicas[1].voterSet());
  }

  private void assertAllVoteAndNothingIsLost() {
    cluster.awaitVoting(2, 10_000);
    cluster.awaitVoting(3, 10_000);
    assertThat(cluster.replicas[2].isVoting() && cluster.replicas[3].isVoting(), is(true));
    assertThat(cluster.read(3_000), is("new"));
    cluster.kill(1);
    cluster.kill(0);
    assertThat(cluster.read(3_000), is("new"));
    assertThat(cluster.replicas[2].blob("key", "blob new").length, is(9));
    assertThat(cluster.replicas[3].blob("key", "blob new").length, is(9));
    assertThat(cluster.net.handlerFaults(), empty());
  }

  @Test
  void replacedVoterIsASourceInPlaceOfASpareThatDoesNotVote() {
    joinOfSpareKnownAtOneVoter();
    wipeDiskAndRestart(2);
    cluster.net.healAll();
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterThatKnowsItsSuccessorIsASource() {
    joinOfSpareKnownAtOneVoter();
    cluster.replicas[0].learn(cluster.replicas[1].voterSet());
    cluster.timers.advance(20);
    assertThat(cluster.replicas[0].isVoting(), is(false));
    cluster.kill(0);
    cluster.start(0);
    wipeDiskAndRestart(2);
    cluster.net.healAll();
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterIsASourceIfBothJoinsAreRestarted() {
    joinOfSpareKnownAtOneVoter();
    wipeDiskAndRestart(2);
    cluster.kill(3);
    cluster.timers.advance(700);
    cluster.start(3);
    cluster.net.healAll();
    cluster.timers.advance(8);
    cluster.kill(2);
    cluster.start(2);
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterThatLostItsDiskIsNoSource() {
    joinOfSpareKnownAtOneVoter();
    cluster.replicas[0].learn(cluster.replicas[1].voterSet());
    cluster.kill(0);
    cluster.disks[0].wipe();
    cluster.start(0);
    wipeDiskAndRestart(2);
    cluster.net.healAll();
    cluster.timers.advance(10_000);
    assertThat(cluster.replicas[2].isVoting() || cluster.replicas[3].isVoting(), is(false));
  }

  @Test
  void replacedVoterWhoseSuccessorMayVoteIsNoSource() {
    joinOfSpareKnownAtOneVoter();
    cluster.kill(3);
    wipeDiskAndRestart(2);
    cluster.net.healAll();
    cluster.timers.advance(10_000);
    assertThat(cluster.replicas[2].isVoting(), is(false));
    cluster.start(3);
    assertAllVoteAndNothingIsLost();
  }

  @Test
  void replacedVoterJoinsAnotherSlotOnlyOnceItsSuccessorVotes() {
    joinOfSpareKnownAtOneVoter();
    cluster.replicas[0].learn(cluster.replicas[1].voterSet());
    cluster.replicas[0].join(1, 2);
    cluster.timers.advance(1_000);
    assertThat(cluster.replicas[0].membership.ownSlot(), is(-1));
    assertThat(cluster.replicas[0].acceptedValue("key"), is("new".getBytes(UTF_8)));
    cluster.net.healAll();
    cluster.awaitVoting(3, 5_000);
    cluster.replicas[0].learn(cluster.replicas[3].voterSet());
    cluster.replicas[0].join(1, 2);
    cluster.awaitVoting(0, 5_000);
    assertThat(cluster.replicas[0].voterSet().voters.get(1).address, is(SimCluster.ADDRESSES[0]));
    assertThat(cluster.replicas[0].isVoting(), is(true));
    assertThat(cluster.read(3_000), is("new"));
  }

  /** The replaced voter acknowledges as a voter, but lacks the values its successor voted for. */
  @Test
  void replacedVoterIsNoSourceOnceItsSuccessorVotes() {
    cluster.bootstrapped();
    put("old");
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(0, 2);
    cluster.awaitVoting(3, 5_000);
    assertThat(cluster.replicas[0].isVoting() && cluster.replicas[3].isVoting(), is(true));
    cluster.kill(1);
    put("new");
    cluster.start(1);
    cluster.timers.advance(20);
    cluster.kill(2);
    cluster.disks[2].wipe();
    cluster.start(2);
    cluster.replicas[2].learn(cluster.initialVoters);
    cluster.awaitVoting(2, 10_000);
    assertThat(cluster.replicas[2].isVoting(), is(true));
    cluster.kill(3);
    assertThat(cluster.read(3_000), is("new"));
  }

  /**
   * A restarted spare that finds a rival voting under the same epoch gives up its claim. If it
   * claimed a higher epoch instead, it would take the slot from a voting instance.
   */
  @Test
  void restartedSpareYieldsToARivalOfTheSameEpoch() {
    cluster.bootstrapped();
    put("new");
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[1]);
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(0, 2);
    cluster.timers.advance(500);
    wipeDiskAndRestart(0);
    cluster.awaitVoting(0, 5_000);
    assertThat(cluster.replicas[0].isVoting(), is(true));
    cluster.kill(3);
    cluster.start(3);
    cluster.net.healAll();
    cluster.timers.advance(10_000);
    assertThat(cluster.replicas[0].isVoting(), is(true));
    assertThat(cluster.replicas[0].voterSet().voters.get(0).epoch, is(2));
    assertThat(cluster.replicas[3].voterSet().voters.get(0).address, is(SimCluster.ADDRESSES[0]));
  }

  /**
   * Calls to the two replicas that are down fail before the third replica responds with the newer
   * voter set.
   */
  @Test
  void clientLearnsOfANewerVoterSetFromALateResponse() {
    cluster.bootstrapped();
    put("new");
    cluster.kill(0);
    cluster.replicas[3].learn(cluster.replicas[1].voterSet());
    cluster.replicas[3].join(0, 2);
    cluster.awaitVoting(3, 3_000);
    cluster.kill(1);
    cluster.net.delay(20, 20);
    for (int i = 0; i < 10; i++) {
      assertThat(cluster.read(3_000), is("new"));
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

  private static JoinResponse response(
      Voter responder, VoterSet voterSet, boolean accepted, boolean replaced) {
    JoinResponse response = new JoinResponse();
    response.instanceId = responder.instanceId;
    response.voterSet = voterSet;
    response.accepted = accepted;
    response.recorded = !accepted;
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
    for (VoterSet reported : List.of(known, rivals)) {
      JoinQuorum quorum = new JoinQuorum(known, 2, known.voters.get(2).instanceId);
      assertThat(quorum.awaitsHolder(2), is(false));
      quorum.onPredecessorResponse(0, response(predecessor, known, false, true));
      quorum.onHolderResponse(0, response(spare, known, false, false));
      assertThat(quorum.sources(), nullValue());
      quorum.onHolderResponse(1, response(known.voters.get(1), reported, true, false));
      if (reported == known) {
        assertThat(quorum.sources(), hasSize(2));
        assertThat(quorum.sources().get(1).instanceId, is(predecessor.instanceId));
      } else {
        assertThat(quorum.sources(), nullValue());
        assertThat(quorum.isUnattainable(), is(true));
      }
    }
  }

  @Test
  void twoReplacedVotersAreNoQuorumOfAJoin() {
    VoterSet known = new VoterSet();
    VoterSet old = new VoterSet();
    for (int i = 0; i < 2; i++) {
      Voter successor = voter("s" + i, 2);
      Voter predecessor = voter("a" + i, 1);
      successor.previousAddress = predecessor.address;
      successor.previousInstanceId = predecessor.instanceId;
      successor.previousEpoch = predecessor.epoch;
      known.voters.add(successor);
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
