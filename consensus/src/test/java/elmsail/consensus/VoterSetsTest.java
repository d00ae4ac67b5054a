package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Comparison and merging of voter sets. */
class VoterSetsTest {
  private static VoterSet set(Voter... voters) {
    VoterSet set = new VoterSet();
    set.voters.addAll(List.of(voters));
    return set;
  }

  private static Voter voter(String name, int epoch) {
    Voter voter = new Voter();
    voter.address = name + ":1";
    voter.machine = name;
    voter.instanceId = name.hashCode();
    voter.epoch = epoch;
    return voter;
  }

  @Test
  void mergeTakesTheHigherEpochOfEachSlot() {
    VoterSet merged =
        VoterSets.merge(
            set(voter("a", 1), voter("e", 3), voter("c", 1)),
            set(voter("d", 2), voter("b", 1), voter("c", 1)));
    assertThat(
        VoterSets.areEqual(merged, set(voter("d", 2), voter("e", 3), voter("c", 1))), is(true));
  }

  @Test
  void mergeKeepsTheKnownVoterOfEqualEpochs() {
    VoterSet known = set(voter("a", 2));
    assertThat(VoterSets.merge(known, set(voter("b", 2))), is(sameInstance(known)));
  }

  @Test
  void mergeWithAnEmptySetGivesTheOther() {
    VoterSet known = set(voter("a", 1), voter("b", 1));
    assertThat(VoterSets.areEqual(VoterSets.merge(set(), known), known), is(true));
    assertThat(VoterSets.merge(known, set()), is(sameInstance(known)));
  }

  @Test
  void mergeIgnoresASetOfAnotherSize() {
    VoterSet known = set(voter("a", 1));
    assertThat(VoterSets.merge(known, set(voter("b", 2), voter("c", 1))), is(sameInstance(known)));
  }

  @Test
  void setsAreEqualIfVotersAndEpochsAre() {
    VoterSet known = set(voter("a", 1), voter("b", 1));
    assertThat(VoterSets.areEqual(known, set(voter("a", 1), voter("b", 1))), is(true));
    assertThat(VoterSets.areEqual(known, set(voter("a", 1), voter("b", 2))), is(false));
    assertThat(VoterSets.areEqual(known, set(voter("a", 1), voter("c", 1))), is(false));
    assertThat(VoterSets.areEqual(known, set(voter("a", 1))), is(false));
  }
}
