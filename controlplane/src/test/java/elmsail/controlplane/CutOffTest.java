package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimNode;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A control-plane node that has no contact with a majority for 20 s, whatever keeps it from it: it
 * gives out no configuration, acknowledges no order and refuses none finally. What others do
 * meanwhile stands once it is back.
 */
class CutOffTest extends CutOffRig {
  private static final long IN_FORCE_MS = 2_000;

  /** A process that hears only n1. */
  private void gatewayAtN1(String name) {
    world.net.cutBoth(world.address(name), world.address("n2"));
    world.net.cutBoth(world.address(name), world.address("n3"));
    world.gateway(name);
  }

  @ParameterizedTest
  @EnumSource
  void aGatewayThatStartsIsNotGivenTheOldConfiguration(Cut cut) {
    heads();
    cut.begin(world);
    assertThat(world.replace("n2", 1, 3), is(200));
    world.timers.advance(BOUND_MS);
    gatewayAtN1("c1");
    long end = world.timers.now() + CUT_MS;
    while (world.timers.now() < end) {
      world.timers.advance(50);
      assertThat(world.gateways.get("c1").config(), nullValue());
    }
    for (String other : new String[] {"n2", "n3"}) {
      world.net.healBoth(world.address("n1"), world.address(other));
    }
    long healedAt = world.timers.now();
    assertThat(world.until(IN_FORCE_MS, () -> world.gateways.get("c1").config() != null), is(true));
    assertThat(world.gateways.get("c1").config().edition(), is(3L));
    System.out.println(cut + ": configuration " + (world.timers.now() - healedAt) + " ms after");
  }

  @Test
  void aGatewayThatRunsKeepsWhatItHasAndHearsTheOthers() {
    heads();
    world.gateway("c1");
    gatewayAtN1("c2");
    world.timers.advance(1_000);
    Cut.BOTH_WAYS.begin(world);
    assertThat(world.replace("n2", 1, 3), is(200));
    assertThat(
        world.until(IN_FORCE_MS, () -> world.gateways.get("c1").config().edition() == 3), is(true));
    for (int i = 0; i < 200; i++) {
      world.timers.advance(100);
      assertThat(world.gateways.get("c1").serverListAgeMs(), lessThan(2_500L));
      assertThat(world.gateways.get("c2").config().edition(), is(1L));
    }
  }

  @Test
  void aPullHeldOpenIsNotAnsweredOnceContactHasLapsed() {
    heads();
    pull(request("gateway", "c9"), 1_000);
    world.timers.advance(500);
    CompletableFuture<PullResponse> first = pull(request("gateway", "c9"), 1_000);
    assertThat(world.until(1_000, first::isDone), is(true));
    PullRequest held = request("gateway", "c9");
    held.configVersion = first.join().configVersion;
    held.serverListEpoch = Long.MAX_VALUE;
    held.viewVersion = first.join().viewVersion;
    held.maxWaitMs = 5_000;
    CompletableFuture<PullResponse> answer = pull(held, 30_000);
    world.timers.advance(100);
    assertThat(answer.isDone(), is(false));
    Cut.BOTH_WAYS.begin(world);
    world.timers.advance(6_000);
    assertThat(answer.isDone(), is(true));
    assertThat(failed(answer), is(true));
  }

  /** At any moment of a read's period, so that some freezes come upon a read under way. */
  @Test
  void nothingFromBeforeAFreezeIsGivenOutAfterIt() {
    for (int early = 0; early < 300; early += 4) {
      begin(early);
      heads();
      world.timers.advance(early);
      frozenAndThawed();
    }
  }

  private void frozenAndThawed() {
    world.net.freeze(world.address("n1"));
    world.timers.advance(10);
    CompletableFuture<PullResponse> early = pull(request("gateway", "c9"), 60_000);
    world.timers.advance(10);
    assertThat(world.replace("n2", 1, 3), is(200));
    world.timers.advance(CUT_MS);
    world.net.thaw(world.address("n1"));
    world.timers.advance(0);
    for (int ms = 0; ms < 100; ms++) {
      CompletableFuture<PullResponse> one = pull(request("gateway", "c8"), 1_000);
      world.timers.advance(1);
      givesNothingOlderThan(3, early);
      givesNothingOlderThan(3, one);
    }
    CompletableFuture<PullResponse> later = pull(request("gateway", "c9"), 1_000);
    assertThat(world.until(1_000, later::isDone), is(true));
    assertThat(later.join().configVersion, is(3L));
  }

  private static void givesNothingOlderThan(long edition, CompletableFuture<PullResponse> answer) {
    if (answer.isDone() && !failed(answer) && answer.join().config != null) {
      assertThat(answer.join().configVersion, greaterThanOrEqualTo(edition));
    }
  }

  @Test
  void aGatewayThatWasFrozenDoesNotTakeAnOldListForAFreshOne() {
    heads();
    world.carrierSays =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\",\"cold_left_ms\":0,"
            + "\"id\":\"i-1\"}],\"next_token\":null}";
    world.gateway("c1");
    assertThat(world.until(3_000, () -> world.gateways.get("c1").servers().size() == 1), is(true));
    world.timers.advance(100);
    world.net.freeze(world.address("c1"));
    world.timers.advance(CUT_MS);
    world.net.thaw(world.address("c1"));
    world.timers.advance(0);
    assertThat(world.gateways.get("c1").serverListAgeMs(), greaterThanOrEqualTo(CUT_MS));
    assertThat(world.until(700, () -> world.gateways.get("c1").serverListAgeMs() < 2_500), is(true));
  }

  @Test
  void anOrderIsNeitherTakenNorFinallyRefusedInTheCut() {
    heads();
    Cut.BOTH_WAYS.begin(world);
    assertThat(world.replace("n2", 1, 3), is(200));
    for (int i = 0; i < 20; i++) {
      assertThat("a lost race", world.replace("n1", 1, 4), anyOf(is(503), is(504)));
      assertThat("a repeat", world.replace("n1", 1, 3), anyOf(is(503), is(504)));
      assertThat("the next", world.replace("n1", 3, 5), anyOf(is(503), is(504)));
      assertThat(world.read("n1"), equalTo("503"));
    }
  }

  @Test
  void anOrderAndARaceThatWaitForTheCutToHealHaveOneWinner() {
    for (int early = 0; early <= 800; early += 100) {
      World one = new World(early, 3);
      for (int i = 1; i <= 3; i++) {
        one.controlPlane("n" + i, true);
      }
      assertThat(one.replaceAnywhere(0, 1), is(200));
      Cut.BOTH_WAYS.begin(one);
      one.timers.advance(CUT_MS);
      CompletableFuture<SimpleHttpResponse> waiting = one.sent("n1", "1", 4);
      one.timers.advance(early);
      one.net.healAll();
      CompletableFuture<SimpleHttpResponse> race = one.sent("n2", "1", 3);
      CompletableFuture<SimpleHttpResponse> late = one.sent("n1", "1", 6);
      int waited = one.status(waiting);
      int raced = one.status(race);
      int came = one.status(late);
      int taken = (waited == 200 ? 1 : 0) + (raced == 200 ? 1 : 0) + (came == 200 ? 1 : 0);
      assertThat(waited + " " + raced + " " + came, taken, lessThanOrEqualTo(1));
      if (taken == 1) {
        long winner = waited == 200 ? 4 : raced == 200 ? 3 : 6;
        assertThat(one.read("n3"), equalTo(World.config(winner)));
      }
      assertThat(waited + " " + raced + " " + came, taken, is(1));
    }
  }

  @Test
  void aReadThatWasUnderWayInAFreezeIsNotAnsweredAsCurrent() {
    heads();
    CompletableFuture<SimpleHttpResponse> read = world.begin("n1", "GET", "/Timetable.Read", null, "");
    world.timers.advance(1);
    assertThat(read.isDone(), is(false));
    world.net.freeze(world.address("n1"));
    assertThat(world.replace("n2", 1, 3), is(200));
    world.timers.advance(CUT_MS);
    world.net.thaw(world.address("n1"));
    assertThat(world.status(read), is(503));
  }

  @Test
  void afterAllHaveStartedAgainTheConfigurationIsThereSoonAlsoWithOneLost() {
    for (int lost = 0; lost <= 1; lost++) {
      World one = new World(5 + lost, 3);
      for (int i = 1; i <= 3; i++) {
        one.controlPlane("n" + i, true);
      }
      assertThat(one.replaceAnywhere(0, 1), is(200));
      for (int i = 1; i <= 3; i++) {
        one.net.kill(one.address("n" + i), false);
      }
      one.timers.advance(2_000);
      long begun = one.timers.now();
      for (int i = 1; i <= 3 - lost; i++) {
        one.controlPlane("n" + i, false);
      }
      one.gateway("c1");
      assertThat(one.until(1_000, () -> one.gateways.get("c1").config() != null), is(true));
      System.out.println(lost + " lost: configuration " + (one.timers.now() - begun) + " ms after");
    }
  }

  @Test
  void oneLostVoterAndLostMessagesDoNotBreakContact() {
    heads();
    world.net.kill(world.address("n3"), false);
    world.net.loss(0.02);
    int refused = 0;
    for (int i = 0; i < 600; i++) {
      PullRequest request = request("gateway", "c9");
      request.maxWaitMs = 0;
      CompletableFuture<PullResponse> answer = pull(request, 1_000);
      world.net.loss(PROBE, world.address("n1"), 0);
      world.net.loss(world.address("n1"), PROBE, 0);
      world.timers.advance(100);
      refused += answer.isDone() && !failed(answer) ? 0 : 1;
    }
    System.out.println("pulls refused with one voter lost and 2 % of messages: " + refused);
    assertThat(refused, lessThan(6));
  }

  @Test
  void aNodeWithoutAVoteThatIsCutOffGivesNothingOutEither() {
    heads();
    world.controlPlane("n4", true, false);
    world.timers.advance(2_000);
    for (int i = 1; i <= 3; i++) {
      world.net.cutBoth(world.address("n4"), world.address("n" + i));
      world.net.cutBoth(world.address("c1"), world.address("n" + i));
    }
    assertThat(world.replace("n2", 1, 3), is(200));
    world.timers.advance(BOUND_MS);
    SimNode asker = world.net.startNode(PROBE);
    for (int i = 0; i < 20; i++) {
      CompletableFuture<PullResponse> answer =
          asker
              .rpcClient()
              .call(world.address("n4"), request("gateway", "c9"), PullResponse.class, 900);
      world.timers.advance(1_000);
      assertThat(failed(answer), is(true));
      assertThat(world.read("n4"), equalTo("503"));
      assertThat(world.replace("n4", 1, 4), anyOf(is(503), is(504)));
    }
    assertThat(world.retired("n4", "v1"), equalTo("503"));
  }

  @Test
  void gatewaysAskThePlatformThemselvesWhileAllNodesAreCutFromEachOther() {
    heads();
    world.carrierSays =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\",\"cold_left_ms\":0,"
            + "\"id\":\"i-1\"}],\"next_token\":null}";
    world.gatewayWithPlatform("c1");
    assertThat(world.until(3_000, () -> world.gateways.get("c1").servers().size() == 1), is(true));
    Cut.BOTH_WAYS.begin(world);
    world.net.cutBoth(world.address("n2"), world.address("n3"));
    world.timers.advance(3_000);
    world.carrierSays = world.carrierSays.replace("open_for_post", "closing");
    assertThat(
        world.until(4_000, () -> world.gateways.get("c1").servers().get(0).draining()), is(true));
    long oldest = 0;
    for (int ms = 0; ms < CUT_MS; ms += 50) {
      world.timers.advance(50);
      oldest = Math.max(oldest, world.gateways.get("c1").serverListAgeMs());
      assertThat(world.gateways.get("c1").config().edition(), is(1L));
    }
    System.out.println("no majority anywhere: the list is " + oldest + " ms old at most");
    assertThat(oldest, lessThan(4_000L));
  }
}
