package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import elmsail.runtime.http.SimpleHttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Whole control-plane nodes over simulated links and disks. */
class ControlPlaneNodeTest {
  private final World world = new World(7, 3);

  private void head() {
    world.controlPlane("n1", true);
    world.controlPlane("n2", true);
    world.controlPlane("n3", true);
  }

  private void all(int stores) {
    head();
    for (int i = 1; i <= stores; i++) {
      world.store("v" + i, true);
    }
  }

  private void founded(int stores) {
    all(stores);
    assertThat(world.until(5_000, () -> world.storeSet("v1").equals("v1/1 v2/1 v3/1")), is(true));
  }

  @Test
  void aConfigurationIsTakenSoonAfterTheStartAndReachesTheClerks() {
    head();
    world.gateway("c1");
    assertThat(world.replaceAnywhere(0, 3), is(200));
    assertThat(world.timers.now(), lessThan(3_500L));
    assertThat(world.until(500, () -> world.gateways.get("c1").config() != null), is(true));
    assertThat(world.gateways.get("c1").config().edition(), is(3L));
    assertThat(world.read("n3"), equalTo(World.config(3)));
    assertThat(world.replace("n2", 3, 9), is(200));
    assertThat(world.until(300, () -> world.gateways.get("c1").config().edition() == 9), is(true));
  }

  @Test
  void theNotariesFoundInAnyOrderOfTheirStarts() {
    for (int order = 0; order < 6; order++) {
      World one = new World(order, 3);
      int first = order % 3 + 1;
      int second = order < 3 ? first % 3 + 1 : (first + 1) % 3 + 1;
      one.controlPlane("n" + first, true);
      one.timers.advance(100);
      one.controlPlane("n" + second, true);
      one.timers.advance(200);
      one.controlPlane("n" + (6 - first - second), true);
      assertThat("order " + order, one.replaceAnywhere(0, 3), is(200));
    }
  }

  @Test
  void fewerSeedsFoundAsManyAsThereAre() {
    World one = new World(1, 1);
    one.controlPlane("n1", true);
    assertThat(one.replaceAnywhere(0, 3), is(200));
    assertThat(one.read("n1"), equalTo(World.config(3)));
  }

  @Test
  void twoAtTwoNotariesOnTopOfTheSameGiveOneWinner() {
    head();
    assertThat(world.replaceAnywhere(0, 1), is(200));
    long current = 1;
    for (int i = 0; i < 20; i++) {
      String base = String.valueOf(current);
      long a = current + 1;
      long b = current + 2;
      CompletableFuture<SimpleHttpResponse> one = world.sent("n1", base, a);
      world.timers.advance(i % 4);
      CompletableFuture<SimpleHttpResponse> two = world.sent("n2", base, b);
      int statusOne = world.status(one);
      int statusTwo = world.status(two);
      assertThat(statusOne + " " + statusTwo, anyOf(equalTo("200 412"), equalTo("412 200")));
      current = statusOne == 200 ? a : b;
      assertThat(world.read("n3"), equalTo(World.config(current)));
      assertThat(
          "sent again anywhere", world.replace("n3", Long.parseLong(base), current), is(200));
    }
  }

  @Test
  void withoutAMajorityNothingIsTakenAndTheRepeatIsOnceAllAreBack() {
    head();
    assertThat(world.replaceAnywhere(0, 1), is(200));
    world.kill("n2");
    world.kill("n3");
    assertThat(world.replace("n1", 1, 2), anyOf(is(503), is(504)));
    assertThat(world.read("n1"), equalTo("503"));
    world.controlPlane("n2", false);
    world.controlPlane("n3", false);
    assertThat(world.replaceAnywhere(1, 2), is(200));
    assertThat(world.read("n2"), equalTo(World.config(2)));
  }

  @Test
  void aNotaryThatStartsTellsNothingBeforeItHasReadAtAMajority() {
    head();
    assertThat(world.replaceAnywhere(0, 1), is(200));
    for (int i = 1; i <= 3; i++) {
      world.kill("n" + i);
    }
    world.controlPlane("n1", false);
    world.gateway("c1");
    world.timers.advance(3_000);
    assertThat(world.gateways.get("c1").view().controlPlaneVoters.voters.isEmpty(), is(true));
    assertThat(world.gateways.get("c1").config() == null, is(true));
    world.controlPlane("n2", false);
    assertThat(world.until(2_000, () -> world.gateways.get("c1").config() != null), is(true));
  }

  @Test
  void aNotaryCutOffGoesOnTellingWhatWasDecided() {
    head();
    world.gateway("c1");
    assertThat(world.replaceAnywhere(0, 1), is(200));
    world.timers.advance(1_000);
    world.net.cutBoth(world.address("n1"), world.address("n2"));
    world.net.cutBoth(world.address("n1"), world.address("n3"));
    assertThat(world.replace("n1", 1, 2), anyOf(is(503), is(504)));
    assertThat(world.replace("n2", 1, 3), is(200));
    assertThat(
        world.until(1_000, () -> world.gateways.get("c1").config().edition() == 3), is(true));
    assertThat(world.read("n1"), equalTo("503"));
    world.net.healAll();
    assertThat(world.until(3_000, () -> world.read("n1").equals(World.config(3))), is(true));
    assertThat(world.replace("n1", 1, 2), is(412));
  }

  @Test
  void allLosePowerRightAfterAnAcknowledgement() {
    head();
    assertThat(world.replaceAnywhere(0, 1), is(200));
    assertThat(world.replaceAnywhere(1, 5), is(200));
    for (int i = 1; i <= 3; i++) {
      world.net.kill(world.address("n" + i), false);
      world.disks.get("n" + i).powerLoss();
    }
    for (int i = 1; i <= 3; i++) {
      world.controlPlane("n" + i, false);
    }
    assertThat(world.until(3_000, () -> world.read("n1").equals(World.config(5))), is(true));
    world.gateway("c1");
    assertThat(world.until(1_000, () -> world.gateways.get("c1").config() != null), is(true));
  }

  @Test
  void aWipedNotaryComesBackThenAnotherMayBeWiped() {
    head();
    assertThat(world.replaceAnywhere(0, 1), is(200));
    for (int i = 1; i <= 3; i++) {
      String name = "n" + i;
      world.wipe(name);
      world.timers.advance(500);
      world.controlPlane(name, false);
      world.timers.advance(5_000);
      assertThat("after " + name, world.read(name), equalTo(World.config(1)));
    }
    assertThat(world.replaceAnywhere(1, 2), is(200));
  }

  @Test
  void aNotaryWithoutADiskPassesCallsOn() {
    head();
    world.controlPlane("n4", true, false);
    assertThat(world.replaceAnywhere(0, 1), is(200));
    assertThat(world.until(2_000, () -> world.replace("n4", 1, 2) == 200), is(true));
    assertThat(world.read("n4"), equalTo(World.config(2)));
    CompletableFuture<SimpleHttpResponse> sentOn = world.begin("n4", "GET", "/Retire.Read/v1", null, "");
    assertThat(world.status(sentOn), is(307));
    assertThat(sentOn.join().headers().get("location"), containsString(":8166/Retire.Read/v1"));
  }

  @Test
  void theListIsAskedByOneAndReachesAll() {
    head();
    world.gateway("c1");
    world.carrierSays =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\","
            + "\"cold_left_ms\":0,\"id\":\"i-1\"}],"
            + "\"next_token\":null}";
    assertThat(world.until(3_000, () -> world.gateways.get("c1").servers().size() == 1), is(true));
    world.timers.advance(5_000);
    int before = world.carrierCalls;
    world.timers.advance(10_000);
    assertThat(world.carrierCalls - before, lessThan(22));
    assertThat(world.carrierCalls - before, greaterThan(17));
    assertThat(world.gateways.get("c1").serverListAgeMs(), lessThan(2_200L));
    world.carrierSays = world.carrierSays.replace("open_for_post", "closing");
    assertThat(
        world.until(700, () -> world.gateways.get("c1").servers().get(0).draining()), is(true));
  }

  @Test
  void anotherAsksTheCarrierOnceTheHolderIsGone() {
    head();
    world.gateway("c1");
    world.timers.advance(3_000);
    world.net.kill(world.address("n1"), false);
    world.timers.advance(5_000);
    int before = world.carrierCalls;
    world.timers.advance(5_000);
    assertThat(world.carrierCalls - before, greaterThan(7));
    assertThat(world.gateways.get("c1").serverListAgeMs(), lessThan(2_200L));
  }

  @Test
  void theVaultsAreFoundedOnceAndStaySeatedOverARestartOfAll() {
    founded(4);
    assertThat(world.stores.get("v4").replica().isVoting(), is(false));
    for (int i = 1; i <= 3; i++) {
      world.kill("n" + i);
    }
    for (int i = 1; i <= 4; i++) {
      world.kill("v" + i);
    }
    for (int i = 1; i <= 3; i++) {
      world.controlPlane("n" + i, false);
    }
    for (int i = 1; i <= 4; i++) {
      world.store("v" + i, false);
    }
    world.timers.advance(6_000);
    assertThat(world.storeSet("v1"), equalTo("v1/1 v2/1 v3/1"));
  }

  @Test
  void fewerVaultsThanSeatsAreFoundedAfterAWhile() {
    all(2);
    assertThat(world.until(5_000, () -> !world.storeSet("v1").isEmpty()), is(false));
    assertThat(world.until(3_000, () -> world.storeSet("v1").equals("v1/1 v2/1")), is(true));
  }

  @Test
  void aSpareTakesTheSeatOfAVaultThatIsGone() {
    founded(4);
    world.timers.advance(2_000);
    world.net.kill(world.address("v2"), false);
    assertThat(world.until(6_000, () -> world.storeSet("v1").equals("v1/1 v4/2 v3/1")), is(true));
    world.store("v2", false);
    world.timers.advance(4_000);
    assertThat(world.storeSet("v1"), equalTo("v1/1 v4/2 v3/1"));
    assertThat(world.stores.get("v2").replica().isVoting(), is(false));
  }

  @Test
  void aWipedVaultTakesItsOwnSeatAgain() {
    founded(3);
    world.timers.advance(1_000);
    world.wipe("v2");
    world.store("v2", false);
    assertThat(world.until(3_000, () -> world.storeSet("v1").equals("v1/1 v2/2 v3/1")), is(true));
  }

  @Test
  void retiringOneOfFourMovesItsSeatAndSaysSo() {
    founded(4);
    world.timers.advance(3_000);
    assertThat(world.retire("n2", "v9"), is(404));
    assertThat(world.retire("n2", "v2"), is(200));
    assertThat(world.retire("n3", "v2"), is(200));
    String delivered = "{\"state\":\"delivered\"}";
    assertThat(world.until(8_000, () -> world.retired("n3", "v2").equals(delivered)), is(true));
    assertThat(world.storeSet("v1"), equalTo("v1/1 v4/2 v3/1"));
    assertThat(world.retired("n3", "v1"), equalTo("{\"state\":\"in_service\"}"));
    assertThat("too few would remain", world.retire("n1", "v3"), is(409));
  }

  @Test
  void retiringOneOfThreeIsRefused() {
    founded(3);
    world.timers.advance(3_500);
    assertThat(world.retire("n1", "v2"), is(409));
    assertThat(world.retired("n1", "v2"), equalTo("{\"state\":\"in_service\"}"));
  }

  @Test
  void deliveredIsNotSaidBeforeTheTakerHasCopiedAll() {
    founded(4);
    world.timers.advance(3_000);
    world.disks.get("v4").stall(5_000);
    assertThat(world.retire("n1", "v2"), is(200));
    long end = world.timers.now() + 4_500;
    while (world.timers.now() < end) {
      assertThat(world.retired("n1", "v2"), equalTo("{\"state\":\"in_service\"}"));
      world.timers.advance(100);
    }
    String delivered = "{\"state\":\"delivered\"}";
    assertThat(world.until(8_000, () -> world.retired("n1", "v2").equals(delivered)), is(true));
    assertThat(world.stores.get("v4").replica().isVoting(), is(true));
  }
}
