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
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import org.junit.jupiter.api.Test;

class PlacementControllerTest {
  private final HeartbeatTable heartbeats = new HeartbeatTable(PeerRole.STORE);
  private final PlacementController controller = new PlacementController(3, 0);
  private final Set<String> decommissioning = new HashSet<>();
  private VoterSet storeVoters = new VoterSet();
  private long now;

  private void receiveHeartbeat(String name, String zone, boolean voting) {
    heartbeats.onHeartbeat(request(name, zone, voting, storeVoters), now);
  }

  static PullRequest request(String name, String zone, boolean voting, VoterSet storeVoters) {
    PullRequest request = new PullRequest();
    request.role = "store";
    request.machine = name;
    request.address = name + ":1";
    request.zone = zone;
    request.instanceId = name.hashCode();
    request.voting = voting;
    request.jobStoreVoters = storeVoters;
    return request;
  }

  private static String names(VoterSet voterSet) {
    StringJoiner names = new StringJoiner(" ");
    for (Voter voter : voterSet.voters) {
      names.add(voter.machine + voter.epoch);
    }
    return names.toString();
  }

  private void setVoters(String... names) {
    storeVoters = new VoterSet();
    for (String name : names) {
      storeVoters.voters.add(VoterSetValue.voter(name + ":1", name, name.hashCode(), 1));
    }
  }

  /**
   * Advances time in steps of 100 ms. In each step the named stores send a heartbeat, as voting if
   * they hold a voter slot. Returns the last assignment.
   */
  private PlacementController.Assignment advance(long ms, String... names) {
    PlacementController.Assignment assignment = null;
    long end = now + ms;
    while (now < end) {
      now += 100;
      for (String name : names) {
        receiveHeartbeat(name, "z" + name, VoterSetValue.slotOf(storeVoters, name + ":1") >= 0);
      }
      assignment = assign(true, true);
    }
    return assignment;
  }

  /** Returns the controller's assignment at the current time; null if it makes none. */
  private PlacementController.Assignment assign(boolean isObserving, boolean canAssign) {
    return controller
        .assignment(heartbeats, storeVoters, decommissioning, isObserving, canAssign, now)
        .orElse(null);
  }

  /**
   * Records heartbeats of the voters "a" and "b" and of the spare "d", but none of the voter "c".
   */
  private void receiveHeartbeatsExceptFromC() {
    receiveHeartbeat("a", "za", true);
    receiveHeartbeat("b", "zb", true);
    receiveHeartbeat("d", "zd", false);
  }

  private static PlacementController.Assignment assignmentTo(String name, int slot, int epoch) {
    return new PlacementController.Assignment(slot, name + ":1", epoch);
  }

  /**
   * Sets the voters "a", "b" and "c", and records heartbeats of these and of the spare "d" for one
   * second.
   */
  private void setVotersWithSpareAndHeartbeats() {
    setVoters("a", "b", "c");
    advance(1_000, "a", "b", "c", "d");
  }

  @Test
  void bootstrapsAsSoonAsEnoughCandidatesAreThere() {
    receiveHeartbeat("c", "z1", false);
    receiveHeartbeat("a", "z2", false);
    assertThat(controller.initialVoterSet(heartbeats, now), is(Optional.empty()));
    receiveHeartbeat("b", "z3", false);
    assertThat(
        names(controller.initialVoterSet(heartbeats, now).orElseThrow()), equalTo("a1 b1 c1"));
  }

  @Test
  void prefersDistinctZonesAndWaitsForThem() {
    receiveHeartbeat("a", "z1", false);
    receiveHeartbeat("b", "z1", false);
    receiveHeartbeat("c", "z2", false);
    assertThat(controller.initialVoterSet(heartbeats, now), is(Optional.empty()));
    receiveHeartbeat("d", "z3", false);
    assertThat(
        names(controller.initialVoterSet(heartbeats, now).orElseThrow()), equalTo("a1 c1 d1"));
  }

  @Test
  void bootstrapsInFewerZonesAfterOneSecond() {
    receiveHeartbeat("a", "z1", false);
    receiveHeartbeat("b", "z1", false);
    receiveHeartbeat("c", "z1", false);
    now = 1_000;
    assertThat(
        names(controller.initialVoterSet(heartbeats, now).orElseThrow()), equalTo("a1 b1 c1"));
  }

  @Test
  void bootstrapsWithFewerVotersAfterSixSeconds() {
    assertThat(controller.initialVoterSet(heartbeats, now), is(Optional.empty()));
    for (now = 0; now < 6_000; now += 500) {
      receiveHeartbeat("a", "z1", false);
      assertThat(controller.initialVoterSet(heartbeats, now), is(Optional.empty()));
    }
    receiveHeartbeat("a", "z1", false);
    assertThat(names(controller.initialVoterSet(heartbeats, now).orElseThrow()), equalTo("a1"));
  }

  @Test
  void votingAndLostStoresAreNotCandidates() {
    receiveHeartbeat("a", "z1", true);
    receiveHeartbeat("b", "z2", false);
    receiveHeartbeat("c", "z3", false);
    receiveHeartbeat("d", "z4", false);
    now = 3_000;
    receiveHeartbeat("b", "z2", false);
    receiveHeartbeat("c", "z3", false);
    assertThat(controller.initialVoterSet(heartbeats, now), is(Optional.empty()));
  }

  @Test
  void spareReplacesVoterWithoutHeartbeats() {
    setVoters("a", "b", "c");
    assertThat(advance(5_000, "a", "b", "c", "d"), is(nullValue()));
    assertThat(advance(2_500, "a", "b", "d"), is(nullValue()));
    PlacementController.Assignment assignment = advance(100, "a", "b", "d");
    assertThat(assignment, equalTo(assignmentTo("d", 2, 2)));
    assertThat(
        "same spare until the replacement is complete",
        advance(1_000, "a", "b", "d", "e"),
        equalTo(assignment));
  }

  @Test
  void noAssignmentWithoutAnEligibleSpare() {
    setVoters("a", "b", "c");
    advance(1_000, "a", "b", "c");
    assertThat(advance(5_000, "a", "b"), is(nullValue()));
    assertThat("decommissioned store is not a spare", decommissioning.add("d"), is(true));
    assertThat(advance(1_000, "a", "b", "d"), is(nullValue()));
  }

  @Test
  void returningVoterKeepsItsSlot() {
    setVoters("a", "b", "c");
    assertThat(advance(3_000, "a", "b", "d"), equalTo(assignmentTo("d", 2, 2)));
    assertThat(advance(200, "a", "b", "c", "d"), is(nullValue()));
  }

  @Test
  void secondSpareGetsHigherEpoch() {
    setVoters("a", "b", "c");
    assertThat(advance(3_000, "a", "b", "d"), equalTo(assignmentTo("d", 2, 2)));
    assertThat(advance(3_000, "a", "b", "e"), equalTo(assignmentTo("e", 2, 3)));
  }

  @Test
  void decommissionedVoterIsReplacedWhileAllOthersVote() {
    setVoters("a", "b", "c");
    decommissioning.add("b");
    assertThat(advance(500, "a", "b", "c"), is(nullValue()));
    assertThat(advance(500, "a", "b", "c", "d"), equalTo(assignmentTo("d", 1, 2)));
  }

  @Test
  void noSecondAssignmentDuringStateTransfer() {
    setVoters("a", "b", "c");
    decommissioning.add("a");
    advance(500, "a", "b", "c", "d");
    storeVoters.voters.set(0, VoterSetValue.voter("d:1", "d", "d".hashCode(), 2));
    decommissioning.add("b");
    for (int i = 0; i < 10; i++) {
      now += 100;
      receiveHeartbeat("a", "za", false);
      receiveHeartbeat("b", "zb", true);
      receiveHeartbeat("c", "zc", true);
      receiveHeartbeat("d", "zd", false);
      receiveHeartbeat("e", "ze", false);
      assertThat(assign(true, true), is(nullValue()));
    }
    assertThat(advance(300, "a", "b", "c", "d", "e"), equalTo(assignmentTo("e", 1, 2)));
  }

  @Test
  void noAssignmentWhileTwoOfThreeAreGone() {
    setVotersWithSpareAndHeartbeats();
    assertThat(advance(6_000, "a", "d"), is(nullValue()));
  }

  @Test
  void twoGoneOfFiveAreReplacedOneByOne() {
    setVoters("a", "b", "c", "d", "e");
    advance(1_000, "a", "b", "c", "d", "e", "f");
    assertThat(advance(3_000, "a", "b", "c", "f"), equalTo(assignmentTo("f", 3, 2)));
    storeVoters.voters.set(3, VoterSetValue.voter("f:1", "f", "f".hashCode(), 2));
    assertThat(advance(300, "a", "b", "c", "f", "g"), equalTo(assignmentTo("g", 4, 2)));
  }

  @Test
  void wipedVoterWithHeartbeatsIsNotReplaced() {
    setVotersWithSpareAndHeartbeats();
    for (int i = 0; i < 50; i++) {
      now += 100;
      receiveHeartbeat("a", "za", true);
      receiveHeartbeat("b", "zb", true);
      receiveHeartbeat("c", "zc", false);
      receiveHeartbeat("d", "zd", false);
      assertThat(assign(true, true), is(nullValue()));
    }
  }

  @Test
  void observationRestartsAfterAFreeze() {
    setVotersWithSpareAndHeartbeats();
    now += 10_000;
    receiveHeartbeatsExceptFromC();
    assertThat(assign(true, true), is(nullValue()));
    assertThat(advance(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(advance(300, "a", "b", "d"), equalTo(assignmentTo("d", 2, 2)));
  }

  @Test
  void nothingIsAssignedWithoutLeaseAndUnobservedTimeDoesNotCount() {
    setVotersWithSpareAndHeartbeats();
    for (int i = 0; i < 40; i++) {
      now += 100;
      receiveHeartbeatsExceptFromC();
      assertThat(assign(false, false), is(nullValue()));
    }
    assertThat(advance(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(advance(300, "a", "b", "d"), equalTo(assignmentTo("d", 2, 2)));
  }

  @Test
  void missingHeartbeatsCountFromBeforeTheLease() {
    setVotersWithSpareAndHeartbeats();
    for (int i = 0; i < 40; i++) {
      now += 100;
      receiveHeartbeatsExceptFromC();
      assertThat(assign(true, false), is(nullValue()));
    }
    assertThat(assign(true, true), equalTo(assignmentTo("d", 2, 2)));
  }
}
