package willowdoor.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulated fleets under kills, stalls, loss, partitions and duplicate names. */
class ModelTest {

  private static final long SEED = 7;

  @Test
  void allMembersDetectAKilledMemberInTime() throws IOException {
    ModelFleet fleet = ModelFleet.converged(100, SEED);
    long[] took = new long[20];
    for (int i = 0; i < took.length; i++) {
      fleet.kill(i * 5);
      took[i] = fleet.runUntilAllSee(i * 5, MemberState.FAILED, 10_000);
      assertTrue(
          took[i] >= fleet.timing.minSuspicionMs(100),
          "failed before the minimum suspicion time-out: " + took[i]);
      fleet.start(i * 5, 0);
      assertTrue(fleet.runUntilViewsEqual(10_000) >= 0);
    }
    assertTrue(ModelFleet.quantile(took, 0.99) <= 3_000, Arrays.toString(took));
    assertEquals(0, fleet.nodes.stream().filter(n -> n.member.isolated()).count());
  }

  @Test
  void fivePercentDatagramLossCausesNoFalseFailure() throws IOException {
    ModelFleet fleet = ModelFleet.converged(100, SEED);
    fleet.loss = 0.05;
    fleet.run(60_000);
    assertTrue(fleet.count(Count.ACCUSED) > 0, "no probe failed: the loss had no effect");
    assertEquals(0, fleet.count(Count.FOUND_FAILED));
    fleet.loss = 0;
    assertTrue(fleet.runUntilViewsEqual(5_000) >= 0);
  }

  /** Number of accusations by a member that stalls again and again. */
  private static long accusationsByStalledMember(boolean lifeguard) throws IOException {
    ModelFleet fleet = ModelFleet.converged(30, SEED, Map.of("lifeguard", lifeguard));
    fleet.delayMs = 80;
    for (int i = 0; i < 40; i++) {
      fleet.run(100);
      fleet.node(3).stoppedUntil = fleet.now + 900;
      fleet.run(900);
    }
    return fleet.node(3).counts.get(Count.ACCUSED);
  }

  @Test
  void stalledMemberAccusesNoOtherMember() throws IOException {
    assertEquals(0, accusationsByStalledMember(true));
    assertTrue(
        accusationsByStalledMember(false) > 3,
        "without Lifeguard the stalled member accuses others");
  }

  @Test
  void memberStoppedForLongReturnsWithTheSameGeneration() throws IOException {
    ModelFleet fleet = ModelFleet.converged(30, SEED);
    long generation = fleet.node(3).member.statement(3).generation();
    fleet.node(3).stoppedUntil = fleet.now + 10_000;
    assertTrue(fleet.runUntilAllSee(3, MemberState.FAILED, 5_000) >= 0);
    fleet.run(10_000);
    assertTrue(fleet.runUntilViewsEqual(5_000) >= 0);
    assertEquals(generation, fleet.node(0).member.statement(3).generation());
    assertEquals(0, fleet.node(3).counts.get(Count.ACCUSED));
  }

  @Test
  void oneWayLossBetweenTwoMembersCausesNoAccusation() throws IOException {
    ModelFleet fleet = ModelFleet.converged(10, SEED);
    fleet.network = (from, to) -> from != 1 || to != 2;
    fleet.run(30_000);
    assertEquals(0, fleet.count(Count.ACCUSED));
    assertTrue(fleet.count(Count.RELAYED) > 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void memberWithOneWayTrafficIsIsolatedAndReturns(boolean losesSent) throws IOException {
    ModelFleet fleet = ModelFleet.converged(20, SEED);
    fleet.network = (from, to) -> (losesSent ? from : to) != 4;
    fleet.run(4_000);
    assertTrue(fleet.node(4).member.isolated());
    fleet.run(4_000);
    assertTrue(
        fleet.nodes.stream().allMatch(n -> n.index == 4 || n.stateOf(4) == MemberState.FAILED));
    assertEquals(1, fleet.nodes.stream().filter(n -> n.member.isolated()).count());
    fleet.network = (from, to) -> true;
    assertTrue(fleet.runUntilViewsEqual(5_000) >= 0);
    fleet.run(2_000);
    assertFalse(fleet.node(4).member.isolated());
  }

  private static void checkPartition(IntUnaryOperator side, int... isolatedSides)
      throws IOException {
    ModelFleet fleet = ModelFleet.converged(100, SEED);
    fleet.run(60_000);
    fleet.bytes = 0;
    fleet.run(10_000);
    long normalBytesPerSecond = fleet.bytes / 10;
    fleet.network = (from, to) -> side.applyAsInt(from) == side.applyAsInt(to);
    fleet.run(30_000);
    for (ModelFleet.Node node : fleet.nodes) {
      boolean expected =
          Arrays.stream(isolatedSides).anyMatch(s -> s == side.applyAsInt(node.index));
      assertEquals(expected, node.member.isolated(), "member " + node.index);
    }
    fleet.network = (from, to) -> true;
    fleet.bytes = 0;
    long healed = fleet.runUntilViewsEqual(20_000);
    assertTrue(healed >= 0 && healed <= 5_000, "views equal after ms: " + healed);
    assertTrue(
        fleet.bytes * 1_000 / healed <= 4 * normalBytesPerSecond,
        fleet.bytes * 1_000 / healed
            + " bytes/s while healing, without faults "
            + normalBytesPerSecond);
    assertTrue(fleet.nodes.stream().noneMatch(n -> n.member.isolated()));
    fleet.run(60_000);
    assertTrue(fleet.nodes.stream().allMatch(n -> n.member.differingSince().isEmpty()));
  }

  @Test
  void partitionIntoHalvesHeals() throws IOException {
    checkPartition(i -> i < 50 ? 0 : 1, 0, 1);
  }

  @Test
  void partitionWithAMinorityHeals() throws IOException {
    checkPartition(i -> i < 49 ? 0 : 1, 0);
  }

  @Test
  void partitionIntoThreeHeals() throws IOException {
    checkPartition(i -> i % 3, 0, 1, 2);
  }

  @Test
  void processRestartedWhileSuspectedReplacesTheOldOne() throws IOException {
    ModelFleet fleet = ModelFleet.converged(20, SEED);
    long old = fleet.node(5).member.statement(5).generation();
    fleet.kill(5);
    assertTrue(fleet.runUntilAllSee(5, MemberState.SUSPECT, 3_000) >= 0);
    // The clock of the new process is an hour behind.
    ModelFleet.Node again = fleet.start(5, -3_600_000);
    assertTrue(fleet.runUntilViewsEqual(3_000) >= 0);
    assertTrue(again.member.statement(5).generation() > old);
    fleet.run(10_000);
    assertEquals(0, fleet.count(Count.FOUND_FAILED) + fleet.count(Count.TWIN));
    assertTrue(fleet.viewsEqual());
  }

  @Test
  void ofTwoProcessesWithOneNameTheLargerRandomPartRemains() throws IOException {
    ModelFleet fleet = ModelFleet.converged(20, SEED);
    ModelFleet.Node first = fleet.node(5);
    ModelFleet.Node second = fleet.start(5, 0);
    fleet.run(20_000);
    assertNotEquals(first.member.superseded(), second.member.superseded());
    long drawnFirst = Generation.randomPart(first.member.statement(5).generation());
    long drawnSecond = Generation.randomPart(second.member.statement(5).generation());
    assertEquals(drawnFirst < drawnSecond, first.member.superseded());
    ModelFleet.Node loser = first.member.superseded() ? first : second;
    assertTrue(loser.counts.get(Count.TWIN) > 0 && loser.member.isolated());
    ModelFleet.Node winner = loser == first ? second : first;
    assertEquals(winner.member.statement(5), fleet.node(0).member.statement(5));
    winner.killed = true;
    fleet.nodes.remove(winner);
    fleet.run(20_000);
    assertTrue(fleet.viewsEqual(), "the superseded process resumes under its name");
  }

  @Test
  void datagramsOfAnEarlierGenerationDoNotChangeTheView() throws IOException {
    ModelFleet fleet = ModelFleet.converged(10, SEED);
    ModelFleet.Node old = fleet.node(5);
    List<Statement> news = List.of(old.member.statement(5).withState(MemberState.LEFT));
    Message.Header header =
        new Message.Header(5, 1, news.get(0).generation(), 0, 1, fleet.roster.hash());
    fleet.kill(5);
    fleet.start(5, 1_000);
    assertTrue(fleet.runUntilViewsEqual(5_000) >= 0);
    long digest = fleet.node(1).member.digest();
    for (Message.Body body :
        List.of(new Message.Ping(1), new Message.Gossip(), new Message.ExchangeUpdate(1))) {
      fleet.node(1).member.receive(new Message(header, body, news), fleet.now);
    }
    assertEquals(3, fleet.node(1).counts.get(Count.OLD_GENERATION));
    assertEquals(digest, fleet.node(1).member.digest());
  }

  @Test
  void flappingMemberDoesNotAffectOthers() throws IOException {
    ModelFleet fleet = ModelFleet.converged(20, SEED);
    for (int i = 0; i < 20; i++) {
      fleet.kill(5);
      fleet.run(500);
      fleet.start(5, 0);
      fleet.run(500);
    }
    assertTrue(fleet.runUntilViewsEqual(5_000) >= 0);
    assertTrue(fleet.nodes.stream().allMatch(n -> n.member.statement(0).incarnation() == 0));
    assertEquals(0, fleet.count(Count.TWIN));
  }

  @Test
  void leaveSpreadsAtOnceAndAThirdKilledLeavesAMajority() throws IOException {
    ModelFleet fleet = ModelFleet.converged(30, SEED);
    fleet.node(5).member.leave(fleet.now);
    assertTrue(fleet.runUntilAllSee(5, MemberState.LEFT, 300) >= 0);
    fleet.kill(5);
    for (int i = 10; i < 20; i++) {
      fleet.kill(i);
    }
    fleet.run(15_000);
    for (ModelFleet.Node node : fleet.nodes) {
      assertTrue(
          !node.member.isolated()
              && node.stateOf(5) == MemberState.LEFT
              && node.member.present() == 19);
    }
  }

  @Test
  void changedTagsReachAllMembers() throws IOException {
    ModelFleet fleet = ModelFleet.converged(20, SEED);
    fleet.node(5).member.tags(Tags.NONE.with("zone", new byte[] {4, 2}), fleet.now);
    fleet.run(2_000);
    assertTrue(
        fleet.nodes.stream()
            .allMatch(
                n -> Arrays.equals(new byte[] {4, 2}, n.member.statement(5).tags().get("zone"))));
  }
}
