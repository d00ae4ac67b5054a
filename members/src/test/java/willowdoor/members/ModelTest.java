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

/** Fleets on a hand-moved clock, and what may happen to them. */
class ModelTest {

  private static final long ANY = 7;

  @Test
  void aKillIsKnownToAllInTime() throws IOException {
    ModelFleet fleet = ModelFleet.calm(100, ANY);
    long[] took = new long[20];
    for (int i = 0; i < took.length; i++) {
      fleet.kill(i * 5);
      took[i] = fleet.untilAll(i * 5, MemberState.FAILED, 10_000);
      assertTrue(
          took[i] >= fleet.timing.suspicionLeast(100), "it had no time to answer: " + took[i]);
      fleet.start(i * 5, 0);
      assertTrue(fleet.untilEqual(10_000) >= 0);
    }
    assertTrue(ModelFleet.quantile(took, 0.99) <= 3_000, Arrays.toString(took));
    assertEquals(0, fleet.nodes.stream().filter(n -> n.member.cutOff()).count());
  }

  @Test
  void nobodyIsAccusedForLongWhereOneInTwentyIsLost() throws IOException {
    ModelFleet fleet = ModelFleet.calm(100, ANY);
    fleet.loss = 0.05;
    fleet.run(60_000);
    assertTrue(fleet.count(Count.ACCUSED) > 0, "nothing was lost");
    assertEquals(0, fleet.count(Count.FOUND_FAILED));
    fleet.loss = 0;
    assertTrue(fleet.untilEqual(5_000) >= 0);
  }

  /** How many members one that stands still again and again accuses. */
  private static long accusedByAStopped(boolean lifeguard) throws IOException {
    ModelFleet fleet = ModelFleet.calm(30, ANY, Map.of("lifeguard", lifeguard));
    fleet.delayMs = 80;
    for (int i = 0; i < 40; i++) {
      fleet.run(100);
      fleet.node(3).stoppedUntil = fleet.now + 900;
      fleet.run(900);
    }
    return fleet.node(3).counts.get(Count.ACCUSED);
  }

  @Test
  void whoWasHeldUpAccusesNobody() throws IOException {
    assertEquals(0, accusedByAStopped(true));
    assertTrue(accusedByAStopped(false) > 3, "without Lifeguard's parts it does");
  }

  @Test
  void whoWasStoppedForLongComesBackUnderTheSameGeneration() throws IOException {
    ModelFleet fleet = ModelFleet.calm(30, ANY);
    long generation = fleet.node(3).member.statement(3).generation();
    fleet.node(3).stoppedUntil = fleet.now + 10_000;
    assertTrue(fleet.untilAll(3, MemberState.FAILED, 5_000) >= 0);
    fleet.run(10_000);
    assertTrue(fleet.untilEqual(5_000) >= 0);
    assertEquals(generation, fleet.node(0).member.statement(3).generation());
    assertEquals(0, fleet.node(3).counts.get(Count.ACCUSED));
  }

  @Test
  void aCutOfOneWayBetweenTwoHarmsNobody() throws IOException {
    ModelFleet fleet = ModelFleet.calm(10, ANY);
    fleet.path = (from, to) -> from != 1 || to != 2;
    fleet.run(30_000);
    assertEquals(0, fleet.count(Count.ACCUSED));
    assertTrue(fleet.count(Count.RELAYED) > 0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void whoHearsNobodyOrIsHeardByNobodyIsCutOffAndComesBack(boolean hears) throws IOException {
    ModelFleet fleet = ModelFleet.calm(20, ANY);
    fleet.path = (from, to) -> (hears ? from : to) != 4;
    fleet.run(4_000);
    assertTrue(fleet.node(4).member.cutOff());
    fleet.run(4_000);
    assertTrue(fleet.nodes.stream().allMatch(n -> n.place == 4 || n.of(4) == MemberState.FAILED));
    assertEquals(1, fleet.nodes.stream().filter(n -> n.member.cutOff()).count());
    fleet.path = (from, to) -> true;
    assertTrue(fleet.untilEqual(5_000) >= 0);
    fleet.run(2_000);
    assertFalse(fleet.node(4).member.cutOff());
  }

  private static void cut(IntUnaryOperator side, int... cutOff) throws IOException {
    ModelFleet fleet = ModelFleet.calm(100, ANY);
    fleet.run(60_000);
    fleet.bytes = 0;
    fleet.run(10_000);
    long calm = fleet.bytes / 10;
    fleet.path = (from, to) -> side.applyAsInt(from) == side.applyAsInt(to);
    fleet.run(30_000);
    for (ModelFleet.Node node : fleet.nodes) {
      boolean is = Arrays.stream(cutOff).anyMatch(s -> s == side.applyAsInt(node.place));
      assertEquals(is, node.member.cutOff(), "member " + node.place);
    }
    fleet.path = (from, to) -> true;
    fleet.bytes = 0;
    long healed = fleet.untilEqual(20_000);
    assertTrue(healed >= 0 && healed <= 5_000, "healed after " + healed);
    assertTrue(
        fleet.bytes * 1_000 / healed <= 4 * calm, fleet.bytes * 1_000 / healed + " for " + calm);
    assertTrue(fleet.nodes.stream().noneMatch(n -> n.member.cutOff()));
    fleet.run(60_000);
    assertTrue(fleet.nodes.stream().allMatch(n -> n.member.differing().isEmpty()));
  }

  @Test
  void aCutInHalvesHeals() throws IOException {
    cut(i -> i < 50 ? 0 : 1, 0, 1);
  }

  @Test
  void aCutBelowHalfHeals() throws IOException {
    cut(i -> i < 49 ? 0 : 1, 0);
  }

  @Test
  void aCutInThreeHeals() throws IOException {
    cut(i -> i % 3, 0, 1, 2);
  }

  @Test
  void aProcessThatStartsAgainWhileSuspectedIsNotTakenForTheOldOne() throws IOException {
    ModelFleet fleet = ModelFleet.calm(20, ANY);
    long old = fleet.node(5).member.statement(5).generation();
    fleet.kill(5);
    assertTrue(fleet.untilAll(5, MemberState.SUSPECT, 3_000) >= 0);
    // Its clock has stepped back by an hour meanwhile.
    ModelFleet.Node again = fleet.start(5, -3_600_000);
    assertTrue(fleet.untilEqual(3_000) >= 0);
    assertTrue(again.member.statement(5).generation() > old);
    fleet.run(10_000);
    assertEquals(0, fleet.count(Count.FOUND_FAILED) + fleet.count(Count.TWIN));
    assertTrue(fleet.equal());
  }

  @Test
  void theSameNameStartedTwiceLeavesTheOneThatDrewMore() throws IOException {
    ModelFleet fleet = ModelFleet.calm(20, ANY);
    ModelFleet.Node first = fleet.node(5);
    ModelFleet.Node second = fleet.start(5, 0);
    fleet.run(20_000);
    assertNotEquals(first.member.superseded(), second.member.superseded());
    long drawnFirst = Generation.drawn(first.member.statement(5).generation());
    long drawnSecond = Generation.drawn(second.member.statement(5).generation());
    assertEquals(drawnFirst < drawnSecond, first.member.superseded());
    ModelFleet.Node loser = first.member.superseded() ? first : second;
    assertTrue(loser.counts.get(Count.TWIN) > 0 && loser.member.cutOff());
    ModelFleet.Node winner = loser == first ? second : first;
    assertEquals(winner.member.statement(5), fleet.node(0).member.statement(5));
    winner.dead = true;
    fleet.nodes.remove(winner);
    fleet.run(20_000);
    assertTrue(fleet.equal(), "the other one has its name back");
  }

  @Test
  void datagramsOfAnEarlierGenerationChangeNothing() throws IOException {
    ModelFleet fleet = ModelFleet.calm(10, ANY);
    ModelFleet.Node old = fleet.node(5);
    List<Statement> news = List.of(old.member.statement(5).as(MemberState.LEFT));
    Message.Header header =
        new Message.Header(5, 1, news.get(0).generation(), 0, 1, fleet.roster.hash());
    fleet.kill(5);
    fleet.start(5, 1_000);
    assertTrue(fleet.untilEqual(5_000) >= 0);
    long digest = fleet.node(1).member.digest();
    for (Message.Body body :
        List.of(new Message.Ping(1), new Message.News(), new Message.Better(1))) {
      fleet.node(1).member.receive(new Message(header, body, news), fleet.now);
    }
    assertEquals(3, fleet.node(1).counts.get(Count.OLD_GENERATION));
    assertEquals(digest, fleet.node(1).member.digest());
  }

  @Test
  void oneThatFlapsHarmsNobodyElse() throws IOException {
    ModelFleet fleet = ModelFleet.calm(20, ANY);
    for (int i = 0; i < 20; i++) {
      fleet.kill(5);
      fleet.run(500);
      fleet.start(5, 0);
      fleet.run(500);
    }
    assertTrue(fleet.untilEqual(5_000) >= 0);
    assertTrue(fleet.nodes.stream().allMatch(n -> n.member.statement(0).incarnation() == 0));
    assertEquals(0, fleet.count(Count.TWIN));
  }

  @Test
  void aLeaveIsKnownAtOnceAndAThirdKilledLeavesAMajority() throws IOException {
    ModelFleet fleet = ModelFleet.calm(30, ANY);
    fleet.node(5).member.leave(fleet.now);
    assertTrue(fleet.untilAll(5, MemberState.LEFT, 300) >= 0);
    fleet.kill(5);
    for (int i = 10; i < 20; i++) {
      fleet.kill(i);
    }
    fleet.run(15_000);
    for (ModelFleet.Node node : fleet.nodes) {
      assertTrue(
          !node.member.cutOff() && node.of(5) == MemberState.LEFT && node.member.present() == 19);
    }
  }

  @Test
  void tagsAndChangesOfThemReachAll() throws IOException {
    ModelFleet fleet = ModelFleet.calm(20, ANY);
    fleet.node(5).member.tags(Tags.NONE.with("zone", new byte[] {4, 2}), fleet.now);
    fleet.run(2_000);
    assertTrue(
        fleet.nodes.stream()
            .allMatch(
                n -> Arrays.equals(new byte[] {4, 2}, n.member.statement(5).tags().get("zone"))));
  }
}
