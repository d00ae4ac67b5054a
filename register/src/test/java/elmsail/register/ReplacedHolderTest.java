package elmsail.register;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.inner.words.Blob;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.register.Register.Wanted;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A spare's claim that can't be finished, and another holder that loses its memory. */
class ReplacedHolderTest {
  private final SimSet set = new SimSet();

  private void put(String value) {
    Blob blob = new Blob();
    blob.name = "blob " + value;
    blob.bytes = new byte[9];
    set.await(set.client(set.founding).change("key", found -> new Wanted(value.getBytes(), List.of()),
        List.of(blob), null, 3_000));
  }

  private String read() {
    return new String(set.await(set.client(set.founding).read("key", null, 3_000)).value());
  }

  /** What the last change made is only at seats 0 and 2; the spare's claim of seat 0 is known at 1 alone. */
  private void claimOfTheSpareAtOneHolder() {
    set.founded();
    put("old");
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.pass(20);
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[2]);
    set.keepers[3].learn(set.founding);
    set.keepers[3].claim(0, 2);
    set.timers.pass(1_500);
    assertThat(set.keepers[1].seating().seats.get(0).address, is(SimSet.AT[3]));
    assertThat(set.keepers[3].seated(), is(false));
  }

  private void wipe(int i) {
    set.kill(i);
    set.disks[i].wipe();
    set.start(i);
    set.keepers[i].learn(set.keepers[1].seating());
  }

  private void allSeatedAgainAndNothingLost() {
    set.awaitSeated(2, 10_000);
    set.awaitSeated(3, 10_000);
    assertThat(set.keepers[2].seated() && set.keepers[3].seated(), is(true));
    assertThat(read(), is("new"));
    set.kill(1);
    set.kill(0);
    assertThat(read(), is("new"));
    assertThat(set.keepers[2].blob("key", "blob new").length, is(9));
    assertThat(set.keepers[3].blob("key", "blob new").length, is(9));
    assertThat(set.net.faults(), empty());
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
    set.keepers[0].learn(set.keepers[1].seating());
    set.timers.pass(20);
    assertThat(set.keepers[0].seated(), is(false));
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
    set.timers.pass(700);
    set.start(3);
    set.net.healAll();
    set.timers.pass(8);
    set.kill(2);
    set.start(2);
    allSeatedAgainAndNothingLost();
  }

  @Test
  void aReplacedHolderWithoutItsMemoryDoesNot() {
    claimOfTheSpareAtOneHolder();
    set.keepers[0].learn(set.keepers[1].seating());
    set.kill(0);
    set.disks[0].wipe();
    set.start(0);
    wipe(2);
    set.net.healAll();
    set.timers.pass(10_000);
    assertThat(set.keepers[2].seated() || set.keepers[3].seated(), is(false));
  }

  @Test
  void norOneWhoseSuccessorMayVote() {
    claimOfTheSpareAtOneHolder();
    set.kill(3);
    wipe(2);
    set.net.healAll();
    set.timers.pass(10_000);
    assertThat(set.keepers[2].seated(), is(false));
    set.start(3);
    allSeatedAgainAndNothingLost();
  }

  @Test
  void aReplacedHolderTakesAnotherSeatOnlyOnceItsSuccessorVotes() {
    claimOfTheSpareAtOneHolder();
    set.keepers[0].learn(set.keepers[1].seating());
    set.keepers[0].claim(1, 2);
    set.timers.pass(1_000);
    assertThat(set.keepers[0].membership.ownSeat(), is(-1));
    assertThat(set.keepers[0].value("key"), is("new".getBytes()));
    set.net.healAll();
    set.awaitSeated(3, 5_000);
    set.keepers[0].learn(set.keepers[3].seating());
    set.keepers[0].claim(1, 2);
    set.awaitSeated(0, 5_000);
    assertThat(set.keepers[0].seating().seats.get(1).address, is(SimSet.AT[0]));
    assertThat(set.keepers[0].seated(), is(true));
    assertThat(read(), is("new"));
  }

  /** It acknowledges as who it was, and has nothing of what its successor voted for. */
  @Test
  void aReplacedHolderThatDoesNotKnowItIsNoSourceOnceItsSuccessorVotes() {
    set.founded();
    put("old");
    set.keepers[3].learn(set.founding);
    set.keepers[3].claim(0, 2);
    set.awaitSeated(3, 5_000);
    assertThat(set.keepers[0].seated() && set.keepers[3].seated(), is(true));
    set.kill(1);
    put("new");
    set.start(1);
    set.timers.pass(20);
    set.kill(2);
    set.disks[2].wipe();
    set.start(2);
    set.keepers[2].learn(set.founding);
    set.awaitSeated(2, 10_000);
    assertThat(set.keepers[2].seated(), is(true));
    set.kill(3);
    assertThat(read(), is("new"));
  }

  /** Else it would raise its incarnation, and take the seat from one that has just been seated. */
  @Test
  void aRestartedSpareStillLeavesTheSeatToARival() {
    set.founded();
    put("new");
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[1]);
    set.net.cutBoth(SimSet.AT[3], SimSet.AT[2]);
    set.keepers[3].learn(set.founding);
    set.keepers[3].claim(0, 2);
    set.timers.pass(500);
    wipe(0);
    set.awaitSeated(0, 5_000);
    assertThat(set.keepers[0].seated(), is(true));
    set.kill(3);
    set.start(3);
    set.net.healAll();
    set.timers.pass(10_000);
    assertThat(set.keepers[0].seated(), is(true));
    assertThat(set.keepers[0].seating().seats.get(0).incarnation, is(2));
    assertThat(set.keepers[3].seating().seats.get(0).address, is(SimSet.AT[0]));
  }

  /** The two that are gone refuse its calls before the third tells it of the newer seating. */
  @Test
  void aClientLearnsOfANewerSeatingFromALateAnswer() {
    set.founded();
    put("new");
    set.kill(0);
    set.keepers[3].learn(set.keepers[1].seating());
    set.keepers[3].claim(0, 2);
    set.awaitSeated(3, 3_000);
    set.kill(1);
    set.net.delay(20, 20);
    for (int i = 0; i < 10; i++) {
      assertThat(read(), is("new"));
      put("new");
    }
  }

  private static Seat seat(String name, int incarnation) {
    Seat seat = new Seat();
    seat.address = name;
    seat.life = name.hashCode();
    seat.incarnation = incarnation;
    return seat;
  }

  private static ClaimTold told(Seat by, Seating knows, boolean held, boolean replaced) {
    ClaimTold told = new ClaimTold();
    told.life = by.life;
    told.seating = knows;
    told.held = held;
    told.noted = !held;
    told.replaced = replaced;
    return told;
  }

  @Test
  void aSeatedHolderThatKnowsOfAnotherSuccessorIsInTheWay() {
    Seating known = new Seating();
    Seat spare = seat("s", 2);
    Seat before = seat("a", 1);
    spare.beforeAddress = before.address;
    spare.beforeLife = before.life;
    spare.beforeIncarnation = before.incarnation;
    known.seats.addAll(List.of(spare, seat("b", 1), seat("x", 2)));
    Seating rivals = SeatingRules.with(known, 0, seat("r", 2));
    for (Seating knows : List.of(known, rivals)) {
      ClaimAnswers answers = new ClaimAnswers(known, 2, known.seats.get(2).life);
      assertThat(answers.asks(2), is(false));
      answers.toldBefore(0, told(before, known, false, true));
      answers.told(0, told(spare, known, false, false));
      assertThat(answers.sources(), nullValue());
      answers.told(1, told(known.seats.get(1), knows, true, false));
      if (knows == known) {
        assertThat(answers.sources(), hasSize(2));
        assertThat(answers.sources().get(1).life, is(before.life));
      } else {
        assertThat(answers.sources(), nullValue());
        assertThat(answers.hopeless(), is(true));
      }
    }
  }

  @Test
  void twoReplacedHoldersAreNotEnough() {
    Seating known = new Seating();
    Seating old = new Seating();
    for (int i = 0; i < 2; i++) {
      Seat one = seat("s" + i, 2);
      Seat before = seat("a" + i, 1);
      one.beforeAddress = before.address;
      one.beforeLife = before.life;
      one.beforeIncarnation = before.incarnation;
      known.seats.add(one);
      old.seats.add(before);
    }
    known.seats.add(seat("x", 2));
    ClaimAnswers answers = new ClaimAnswers(known, 2, known.seats.get(2).life);
    for (int i = 0; i < 2; i++) {
      answers.told(i, told(known.seats.get(i), known, false, false));
      answers.toldBefore(i, told(old.seats.get(i), known, false, true));
    }
    assertThat(answers.sources(), nullValue());
    assertThat(answers.asks(0), is(not(true)));
    assertThat(answers.hopeless(), is(true));
  }
}
