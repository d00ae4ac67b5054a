package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.HashSet;
import java.util.Set;
import java.util.StringJoiner;
import org.junit.jupiter.api.Test;

class PlacementControllerTest {
  private final HeartbeatTable heard = new HeartbeatTable(PeerRole.STORE);
  private final PlacementController storePlacement = new PlacementController(3, 0);
  private final Set<String> retiring = new HashSet<>();
  private VoterSet storeSet = new VoterSet();
  private long now;

  private void hear(String name, String zone, boolean voting) {
    heard.onHeartbeat(request(name, zone, voting, storeSet), now);
  }

  static PullRequest request(String name, String zone, boolean voting, VoterSet storeSet) {
    PullRequest request = new PullRequest();
    request.role = "store";
    request.machine = name;
    request.address = name + ":1";
    request.zone = zone;
    request.instanceId = name.hashCode();
    request.voting = voting;
    request.jobStoreVoters = storeSet;
    return request;
  }

  private static String names(VoterSet voterSet) {
    StringJoiner names = new StringJoiner(" ");
    for (Voter voter : voterSet.voters) {
      names.add(voter.machine + voter.epoch);
    }
    return names.toString();
  }

  private void founded(String... names) {
    storeSet = new VoterSet();
    for (String name : names) {
      storeSet.voters.add(VoterSetValue.voter(name + ":1", name, name.hashCode(), 1));
    }
  }

  /** Time passes in steps, as those named are heard, voting where they hold a voter slot. */
  private PlacementController.Assignment pass(long ms, String... names) {
    PlacementController.Assignment order = null;
    long end = now + ms;
    while (now < end) {
      now += 100;
      for (String name : names) {
        hear(name, "z" + name, VoterSetValue.slotOf(storeSet, name + ":1") >= 0);
      }
      order = order(true, true);
    }
    return order;
  }

  /**
   * What the controller orders now, as the leaseholder or not, in contact with a majority or not.
   */
  private PlacementController.Assignment order(boolean hears, boolean directs) {
    return storePlacement.assignment(heard, storeSet, retiring, hears, directs, now);
  }

  /** Two of three voters and a spare are heard at once; the voter "c" is not. */
  private void hearAllButC() {
    hear("a", "za", true);
    hear("b", "zb", true);
    hear("d", "zd", false);
  }

  private static PlacementController.Assignment orderTo(String name, int slot, int epoch) {
    return new PlacementController.Assignment(slot, name + ":1", epoch);
  }

  /** The voters "a", "b" and "c" were heard for a second, and the spare "d". */
  private void threeVotersAndASpareHeard() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c", "d");
  }

  @Test
  void bootstrapsAsSoonAsEnoughCandidatesAreThere() {
    hear("c", "z1", false);
    hear("a", "z2", false);
    assertThat(storePlacement.initialVoterSet(heard, now), is(nullValue()));
    hear("b", "z3", false);
    assertThat(names(storePlacement.initialVoterSet(heard, now)), equalTo("a1 b1 c1"));
  }

  @Test
  void prefersDistinctZonesAndWaitsForThem() {
    hear("a", "z1", false);
    hear("b", "z1", false);
    hear("c", "z2", false);
    assertThat(storePlacement.initialVoterSet(heard, now), is(nullValue()));
    hear("d", "z3", false);
    assertThat(names(storePlacement.initialVoterSet(heard, now)), equalTo("a1 c1 d1"));
  }

  @Test
  void bootstrapsInFewerZonesAfterOneSecond() {
    hear("a", "z1", false);
    hear("b", "z1", false);
    hear("c", "z1", false);
    now = 1_000;
    assertThat(names(storePlacement.initialVoterSet(heard, now)), equalTo("a1 b1 c1"));
  }

  @Test
  void bootstrapsWithFewerVotersAfterSixSeconds() {
    assertThat(storePlacement.initialVoterSet(heard, now), is(nullValue()));
    for (now = 0; now < 6_000; now += 500) {
      hear("a", "z1", false);
      assertThat(storePlacement.initialVoterSet(heard, now), is(nullValue()));
    }
    hear("a", "z1", false);
    assertThat(names(storePlacement.initialVoterSet(heard, now)), equalTo("a1"));
  }

  @Test
  void votingAndGoneStoresAreNoCandidates() {
    hear("a", "z1", true);
    hear("b", "z2", false);
    hear("c", "z3", false);
    hear("d", "z4", false);
    now = 3_000;
    hear("b", "z2", false);
    hear("c", "z3", false);
    assertThat(storePlacement.initialVoterSet(heard, now), is(nullValue()));
  }

  @Test
  void spareReplacesVoterWithoutHeartbeats() {
    founded("a", "b", "c");
    assertThat(pass(5_000, "a", "b", "c", "d"), is(nullValue()));
    assertThat(pass(2_500, "a", "b", "d"), is(nullValue()));
    PlacementController.Assignment order = pass(100, "a", "b", "d");
    assertThat(order, equalTo(orderTo("d", 2, 2)));
    assertThat("the same spare until it is done", pass(1_000, "a", "b", "d", "e"), equalTo(order));
  }

  @Test
  void noAssignmentWithoutSpare() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c");
    assertThat(pass(5_000, "a", "b"), is(nullValue()));
    assertThat("a retiring one is no spare", retiring.add("d"), is(true));
    assertThat(pass(1_000, "a", "b", "d"), is(nullValue()));
  }

  @Test
  void returningVoterKeepsItsSlot() {
    founded("a", "b", "c");
    assertThat(pass(3_000, "a", "b", "d"), equalTo(orderTo("d", 2, 2)));
    assertThat(pass(200, "a", "b", "c", "d"), is(nullValue()));
  }

  @Test
  void secondSpareGetsHigherEpoch() {
    founded("a", "b", "c");
    assertThat(pass(3_000, "a", "b", "d"), equalTo(orderTo("d", 2, 2)));
    assertThat(pass(3_000, "a", "b", "e"), equalTo(orderTo("e", 2, 3)));
  }

  @Test
  void decommissionedVoterIsReplacedWhileAllOthersVote() {
    founded("a", "b", "c");
    retiring.add("b");
    assertThat(pass(500, "a", "b", "c"), is(nullValue()));
    assertThat(pass(500, "a", "b", "c", "d"), equalTo(orderTo("d", 1, 2)));
  }

  @Test
  void noSecondAssignmentDuringStateTransfer() {
    founded("a", "b", "c");
    retiring.add("a");
    pass(500, "a", "b", "c", "d");
    storeSet.voters.set(0, VoterSetValue.voter("d:1", "d", "d".hashCode(), 2));
    retiring.add("b");
    for (int i = 0; i < 10; i++) {
      now += 100;
      hear("a", "za", false);
      hear("b", "zb", true);
      hear("c", "zc", true);
      hear("d", "zd", false);
      hear("e", "ze", false);
      assertThat(order(true, true), is(nullValue()));
    }
    assertThat(pass(300, "a", "b", "c", "d", "e"), equalTo(orderTo("e", 1, 2)));
  }

  @Test
  void noAssignmentWhileTwoOfThreeAreGone() {
    threeVotersAndASpareHeard();
    assertThat(pass(6_000, "a", "d"), is(nullValue()));
  }

  @Test
  void twoGoneOfFiveAreReplacedOneByOne() {
    founded("a", "b", "c", "d", "e");
    pass(1_000, "a", "b", "c", "d", "e", "f");
    assertThat(pass(3_000, "a", "b", "c", "f"), equalTo(orderTo("f", 3, 2)));
    storeSet.voters.set(3, VoterSetValue.voter("f:1", "f", "f".hashCode(), 2));
    assertThat(pass(300, "a", "b", "c", "f", "g"), equalTo(orderTo("g", 4, 2)));
  }

  @Test
  void wipedVoterWithHeartbeatsIsNotReplaced() {
    threeVotersAndASpareHeard();
    for (int i = 0; i < 50; i++) {
      now += 100;
      hear("a", "za", true);
      hear("b", "zb", true);
      hear("c", "zc", false);
      hear("d", "zd", false);
      assertThat(order(true, true), is(nullValue()));
    }
  }

  @Test
  void controllerObservesAnewAfterFreeze() {
    threeVotersAndASpareHeard();
    now += 10_000;
    hearAllButC();
    assertThat(order(true, true), is(nullValue()));
    assertThat(pass(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(pass(300, "a", "b", "d"), equalTo(orderTo("d", 2, 2)));
  }

  @Test
  void nothingIsAssignedWithoutLeaseAndUnobservedTimeDoesNotCount() {
    threeVotersAndASpareHeard();
    for (int i = 0; i < 40; i++) {
      now += 100;
      hearAllButC();
      assertThat(order(false, false), is(nullValue()));
    }
    assertThat(pass(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(pass(300, "a", "b", "d"), equalTo(orderTo("d", 2, 2)));
  }

  @Test
  void missingHeartbeatsCountFromBeforeTheLease() {
    threeVotersAndASpareHeard();
    for (int i = 0; i < 40; i++) {
      now += 100;
      hearAllButC();
      assertThat(order(true, false), is(nullValue()));
    }
    assertThat(order(true, true), equalTo(orderTo("d", 2, 2)));
  }
}
