package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.consensus.Register.Wanted;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A spare's claim that can't be finished, and another holder that loses its memory. */
class ReplacedVoterTest {
  private final SimSet set = new SimSet();

  private void put(String value) {
    Blob blob = new Blob();
    blob.name = "blob " + value;
    blob.bytes = new byte[9];
    set.await(
        set.client(set.founding)
            .change(
                "key",
                found -> new Wanted(value.getBytes(), List.of()),
                List.of(blob),
                null,
                3_000));
  }

  private String read() {
    return new String(set.await(set.client(set.founding).read("key", null, 3_000)).value());
  }

  /**
   * What the last change made is only at voter slots 0 and 2; the spare's claim of voter slot 0 is
   * known at 1 alone.
   */
  private void claimOfTheSpareAtOneHolder() {
    set.founded();
    put("old");
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.advance(20);
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[2]);
    set.replicas[3].learn(set.founding);
    set.replicas[3].join(0, 2);
    set.timers.advance(1_500);
    assertThat(set.replicas[1].voterSet().voters.get(0).address, is(SimSet.AT[3]));
    assertThat(set.replicas[3].voting(), is(false));
  }

  private void wipe(int i) {
    set.kill(i);
    set.disks[i].wipe();
    set.start(i);
    set.replicas[i].learn(set.replicas[1].voterSet());
  }

  private void allSeatedAgainAndNothingLost() {
    set.awaitSeated(2, 10_000);
    set.awaitSeated(3, 10_000);
    assertThat(set.replicas[2].voting() && set.replicas[3].voting(), is(true));
    assertThat(read(), is("new"));
    set.kill(1);
    set.kill(0);
    assertThat(read(), is("new"));
    assertThat(set.replicas[2].blob("key", "blob new").length, is(9));
    assertThat(set.replicas[3].blob("key", "blob new").length, is(9));
    assertThat(set.net.handlerFaults(), empty());
  }

  @Test
  void aReplacedHolderStandsInForASpareThatIsNotSeated() {
    claimOfTheSpareAtOneHolder();
    wipe(2);
    set.net.healAll();
    allSeatedAgainAndNothingLost();
  }

  @Test
  void alsoIfItKnowsAlreadyThatItIsReplaced() {
    claimOfTheSpareAtOneHolder();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.timers.advance(20);
    assertThat(set.replicas[0].voting(), is(false));
    set.kill(0);
    set.start(0);
    wipe(2);
    set.net.healAll();
    allSeatedAgainAndNothingLost();
  }

  @Test
  void alsoIfTheSpareAndTheNewcomerAreRestartedInTheMiddle() {
    claimOfTheSpareAtOneHolder();
    wipe(2);
    set.kill(3);
    set.timers.advance(700);
    set.start(3);
    set.net.healAll();
    set.timers.advance(8);
    set.kill(2);
    set.start(2);
    allSeatedAgainAndNothingLost();
  }

  @Test
  void aReplacedHolderWithoutItsMemoryDoesNot() {
    claimOfTheSpareAtOneHolder();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.kill(0);
    set.disks[0].wipe();
    set.start(0);
    wipe(2);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[2].voting() || set.replicas[3].voting(), is(false));
  }

  @Test
  void norOneWhoseSuccessorMayVote() {
    claimOfTheSpareAtOneHolder();
    set.kill(3);
    wipe(2);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[2].voting(), is(false));
    set.start(3);
    allSeatedAgainAndNothingLost();
  }

  @Test
  void aReplacedHolderTakesAnotherSeatOnlyOnceItsSuccessorVotes() {
    claimOfTheSpareAtOneHolder();
    set.replicas[0].learn(set.replicas[1].voterSet());
    set.replicas[0].join(1, 2);
    set.timers.advance(1_000);
    assertThat(set.replicas[0].membership.ownSlot(), is(-1));
    assertThat(set.replicas[0].value("key"), is("new".getBytes()));
    set.net.healAll();
    set.awaitSeated(3, 5_000);
    set.replicas[0].learn(set.replicas[3].voterSet());
    set.replicas[0].join(1, 2);
    set.awaitSeated(0, 5_000);
    assertThat(set.replicas[0].voterSet().voters.get(1).address, is(SimSet.AT[0]));
    assertThat(set.replicas[0].voting(), is(true));
    assertThat(read(), is("new"));
  }

  /** It acknowledges as who it was, and has nothing of what its successor voted for. */
  @Test
  void aReplacedHolderThatDoesNotKnowItIsNoSourceOnceItsSuccessorVotes() {
    set.founded();
    put("old");
    set.replicas[3].learn(set.founding);
    set.replicas[3].join(0, 2);
    set.awaitSeated(3, 5_000);
    assertThat(set.replicas[0].voting() && set.replicas[3].voting(), is(true));
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.advance(20);
    set.kill(2);
    set.disks[2].wipe();
    set.start(2);
    set.replicas[2].learn(set.founding);
    set.awaitSeated(2, 10_000);
    assertThat(set.replicas[2].voting(), is(true));
    set.kill(3);
    assertThat(read(), is("new"));
  }

  /** Else it would raise its epoch, and take the voter slot from one that has just been voting. */
  @Test
  void aRestartedSpareStillLeavesTheSeatToARival() {
    set.founded();
    put("new");
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[1]);
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[2]);
    set.replicas[3].learn(set.founding);
    set.replicas[3].join(0, 2);
    set.timers.advance(500);
    wipe(0);
    set.awaitSeated(0, 5_000);
    assertThat(set.replicas[0].voting(), is(true));
    set.kill(3);
    set.start(3);
    set.net.healAll();
    set.timers.advance(10_000);
    assertThat(set.replicas[0].voting(), is(true));
    assertThat(set.replicas[0].voterSet().voters.get(0).epoch, is(2));
    assertThat(set.replicas[3].voterSet().voters.get(0).address, is(SimSet.AT[0]));
  }

  /** The two that are gone refuse its calls before the third tells it of the newer voter set. */
  @Test
  void aClientLearnsOfANewerSeatingFromALateAnswer() {
    set.founded();
    put("new");
    set.kill(0);
    set.replicas[3].learn(set.replicas[1].voterSet());
    set.replicas[3].join(0, 2);
    set.awaitSeated(3, 3_000);
    set.kill(1);
    set.net.delay(20, 20);
    for (int i = 0; i < 10; i++) {
      assertThat(read(), is("new"));
      put("new");
    }
  }

  private static Voter slot(String name, int epoch) {
    Voter slot = new Voter();
    slot.address = name;
    slot.instanceId = name.hashCode();
    slot.epoch = epoch;
    return slot;
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
  void aSeatedHolderThatKnowsOfAnotherSuccessorIsInTheWay() {
    VoterSet known = new VoterSet();
    Voter spare = slot("s", 2);
    Voter before = slot("a", 1);
    spare.previousAddress = before.address;
    spare.previousInstanceId = before.instanceId;
    spare.previousEpoch = before.epoch;
    known.voters.addAll(List.of(spare, slot("b", 1), slot("x", 2)));
    VoterSet rivals = VoterSets.with(known, 0, slot("r", 2));
    for (VoterSet knows : List.of(known, rivals)) {
      JoinQuorum answers = new JoinQuorum(known, 2, known.voters.get(2).instanceId);
      assertThat(answers.asks(2), is(false));
      answers.toldBefore(0, response(before, known, false, true));
      answers.response(0, response(spare, known, false, false));
      assertThat(answers.sources(), nullValue());
      answers.response(1, response(known.voters.get(1), knows, true, false));
      if (knows == known) {
        assertThat(answers.sources(), hasSize(2));
        assertThat(answers.sources().get(1).instanceId, is(before.instanceId));
      } else {
        assertThat(answers.sources(), nullValue());
        assertThat(answers.hopeless(), is(true));
      }
    }
  }

  @Test
  void twoReplacedHoldersAreNotEnough() {
    VoterSet known = new VoterSet();
    VoterSet old = new VoterSet();
    for (int i = 0; i < 2; i++) {
      Voter one = slot("s" + i, 2);
      Voter before = slot("a" + i, 1);
      one.previousAddress = before.address;
      one.previousInstanceId = before.instanceId;
      one.previousEpoch = before.epoch;
      known.voters.add(one);
      old.voters.add(before);
    }
    known.voters.add(slot("x", 2));
    JoinQuorum answers = new JoinQuorum(known, 2, known.voters.get(2).instanceId);
    for (int i = 0; i < 2; i++) {
      answers.response(i, response(known.voters.get(i), known, false, false));
      answers.toldBefore(i, response(old.voters.get(i), known, false, true));
    }
    assertThat(answers.sources(), nullValue());
    assertThat(answers.asks(0), is(not(true)));
    assertThat(answers.hopeless(), is(true));
  }
}
