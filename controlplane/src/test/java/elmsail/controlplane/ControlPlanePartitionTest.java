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
class ControlPlanePartitionTest extends PartitionTestBase {
  private static final long IN_FORCE_MS = 2_000;

  /** A gateway that reaches only n1. */
  private void gatewayAtN1(String name) {
    cluster.net.cutBoth(cluster.address(name), cluster.address("n2"));
    cluster.net.cutBoth(cluster.address(name), cluster.address("n3"));
    cluster.gateway(name);
  }

  @ParameterizedTest
  @EnumSource
  void startingGatewayDoesNotGetAnOldConfig(Partition cut) {
    startControlPlane();
    cut.begin(cluster);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    gatewayAtN1("c1");
    long end = cluster.timers.now() + CUT_MS;
    while (cluster.timers.now() < end) {
      cluster.timers.advance(50);
      assertThat(cluster.gateways.get("c1").config(), nullValue());
    }
    for (String other : new String[] {"n2", "n3"}) {
      cluster.net.healBoth(cluster.address("n1"), cluster.address(other));
    }
    long healedAt = cluster.timers.now();
    assertThat(
        cluster.awaitWithin(IN_FORCE_MS, () -> cluster.gateways.get("c1").config() != null),
        is(true));
    assertThat(cluster.gateways.get("c1").config().version(), is(3L));
    System.out.println(cut + ": configuration " + (cluster.timers.now() - healedAt) + " ms after");
  }

  @Test
  void runningGatewayKeepsItsConfigAndFollowsOtherNodes() {
    startControlPlane();
    cluster.gateway("c1");
    gatewayAtN1("c2");
    cluster.timers.advance(1_000);
    Partition.BOTH_WAYS.begin(cluster);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    assertThat(
        cluster.awaitWithin(IN_FORCE_MS, () -> cluster.gateways.get("c1").config().version() == 3),
        is(true));
    for (int i = 0; i < 200; i++) {
      cluster.timers.advance(100);
      assertThat(cluster.gateways.get("c1").serverListAgeMs(), lessThan(2_500L));
      assertThat(cluster.gateways.get("c2").config().version(), is(1L));
    }
  }

  @Test
  void pendingPullFailsOnceContactHasLapsed() {
    startControlPlane();
    pull(request("gateway", "c9"), 1_000);
    cluster.timers.advance(500);
    CompletableFuture<PullResponse> first = pull(request("gateway", "c9"), 1_000);
    assertThat(cluster.awaitWithin(1_000, first::isDone), is(true));
    PullRequest held = request("gateway", "c9");
    held.configVersion = first.join().configVersion;
    held.serverListEpoch = Long.MAX_VALUE;
    held.viewVersion = first.join().viewVersion;
    held.maxWaitMs = 5_000;
    CompletableFuture<PullResponse> answer = pull(held, 30_000);
    cluster.timers.advance(100);
    assertThat(answer.isDone(), is(false));
    Partition.BOTH_WAYS.begin(cluster);
    cluster.timers.advance(6_000);
    assertThat(answer.isDone(), is(true));
    assertThat(failed(answer), is(true));
  }

  /** At any moment of a read's period, so that some freezes come upon a read under way. */
  @Test
  void nothingFromBeforeAFreezeIsPublishedAfterIt() {
    for (int early = 0; early < 300; early += 4) {
      newCluster(early);
      startControlPlane();
      cluster.timers.advance(early);
      frozenAndThawed();
    }
  }

  private void frozenAndThawed() {
    cluster.net.freeze(cluster.address("n1"));
    cluster.timers.advance(10);
    CompletableFuture<PullResponse> early = pull(request("gateway", "c9"), 60_000);
    cluster.timers.advance(10);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CUT_MS);
    cluster.net.thaw(cluster.address("n1"));
    cluster.timers.advance(0);
    for (int ms = 0; ms < 100; ms++) {
      CompletableFuture<PullResponse> one = pull(request("gateway", "c8"), 1_000);
      cluster.timers.advance(1);
      assertNothingOlderThan(3, early);
      assertNothingOlderThan(3, one);
    }
    CompletableFuture<PullResponse> later = pull(request("gateway", "c9"), 1_000);
    assertThat(cluster.awaitWithin(1_000, later::isDone), is(true));
    assertThat(later.join().configVersion, is(3L));
  }

  private static void assertNothingOlderThan(long edition, CompletableFuture<PullResponse> answer) {
    if (answer.isDone() && !failed(answer) && answer.join().config != null) {
      assertThat(answer.join().configVersion, greaterThanOrEqualTo(edition));
    }
  }

  @Test
  void frozenGatewayDoesNotTakeAnOldListForAFreshOne() {
    startControlPlane();
    cluster.platformReply =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\",\"cold_left_ms\":0,"
            + "\"id\":\"i-1\"}],\"next_token\":null}";
    cluster.gateway("c1");
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.gateways.get("c1").servers().size() == 1),
        is(true));
    cluster.timers.advance(100);
    cluster.net.freeze(cluster.address("c1"));
    cluster.timers.advance(CUT_MS);
    cluster.net.thaw(cluster.address("c1"));
    cluster.timers.advance(0);
    assertThat(cluster.gateways.get("c1").serverListAgeMs(), greaterThanOrEqualTo(CUT_MS));
    assertThat(
        cluster.awaitWithin(700, () -> cluster.gateways.get("c1").serverListAgeMs() < 2_500),
        is(true));
  }

  @Test
  void partitionedNodeNeitherCommitsNorFinallyRejectsChanges() {
    startControlPlane();
    Partition.BOTH_WAYS.begin(cluster);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    for (int i = 0; i < 20; i++) {
      assertThat("a lost race", cluster.replace("n1", 1, 4), anyOf(is(503), is(504)));
      assertThat("a repeat", cluster.replace("n1", 1, 3), anyOf(is(503), is(504)));
      assertThat("the next", cluster.replace("n1", 3, 5), anyOf(is(503), is(504)));
      assertThat(cluster.read("n1"), equalTo("503"));
    }
  }

  @Test
  void changesRacingAtTheHealHaveOneWinner() {
    for (int early = 0; early <= 800; early += 100) {
      SimulatedCluster other = new SimulatedCluster(early, 3);
      for (int i = 1; i <= 3; i++) {
        other.controlPlane("n" + i, true);
      }
      assertThat(other.replaceAnywhere(0, 1), is(200));
      Partition.BOTH_WAYS.begin(other);
      other.timers.advance(CUT_MS);
      CompletableFuture<SimpleHttpResponse> waiting = other.sendReplace("n1", "1", 4);
      other.timers.advance(early);
      other.net.healAll();
      CompletableFuture<SimpleHttpResponse> race = other.sendReplace("n2", "1", 3);
      CompletableFuture<SimpleHttpResponse> late = other.sendReplace("n1", "1", 6);
      int waited = other.status(waiting);
      int raced = other.status(race);
      int came = other.status(late);
      int taken = (waited == 200 ? 1 : 0) + (raced == 200 ? 1 : 0) + (came == 200 ? 1 : 0);
      assertThat(waited + " " + raced + " " + came, taken, lessThanOrEqualTo(1));
      if (taken == 1) {
        long winner = waited == 200 ? 4 : raced == 200 ? 3 : 6;
        assertThat(other.read("n3"), equalTo(SimulatedCluster.config(winner)));
      }
      assertThat(waited + " " + raced + " " + came, taken, is(1));
    }
  }

  @Test
  void readInFlightDuringAFreezeIsNotAnsweredAsCurrent() {
    startControlPlane();
    CompletableFuture<SimpleHttpResponse> read =
        cluster.call("n1", "GET", "/Timetable.Read", null, "");
    cluster.timers.advance(1);
    assertThat(read.isDone(), is(false));
    cluster.net.freeze(cluster.address("n1"));
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CUT_MS);
    cluster.net.thaw(cluster.address("n1"));
    assertThat(cluster.status(read), is(503));
  }

  @Test
  void configIsServedSoonAfterRestartOfAllWithOneLost() {
    for (int lost = 0; lost <= 1; lost++) {
      SimulatedCluster other = new SimulatedCluster(5 + lost, 3);
      for (int i = 1; i <= 3; i++) {
        other.controlPlane("n" + i, true);
      }
      assertThat(other.replaceAnywhere(0, 1), is(200));
      for (int i = 1; i <= 3; i++) {
        other.net.kill(other.address("n" + i), false);
      }
      other.timers.advance(2_000);
      long begun = other.timers.now();
      for (int i = 1; i <= 3 - lost; i++) {
        other.controlPlane("n" + i, false);
      }
      other.gateway("c1");
      assertThat(
          other.awaitWithin(1_000, () -> other.gateways.get("c1").config() != null), is(true));
      System.out.println(
          lost + " lost: configuration " + (other.timers.now() - begun) + " ms after");
    }
  }

  @Test
  void contactSurvivesOneLostVoterAndLostMessages() {
    startControlPlane();
    cluster.net.kill(cluster.address("n3"), false);
    cluster.net.loss(0.02);
    int refused = 0;
    for (int i = 0; i < 600; i++) {
      PullRequest request = request("gateway", "c9");
      request.maxWaitMs = 0;
      CompletableFuture<PullResponse> answer = pull(request, 1_000);
      cluster.net.loss(PROBE, cluster.address("n1"), 0);
      cluster.net.loss(cluster.address("n1"), PROBE, 0);
      cluster.timers.advance(100);
      refused += answer.isDone() && !failed(answer) ? 0 : 1;
    }
    System.out.println("pulls refused with one voter lost and 2 % of messages: " + refused);
    assertThat(refused, lessThan(6));
  }

  @Test
  void partitionedNonVoterPublishesNothing() {
    startControlPlane();
    cluster.controlPlane("n4", true, false);
    cluster.timers.advance(2_000);
    for (int i = 1; i <= 3; i++) {
      cluster.net.cutBoth(cluster.address("n4"), cluster.address("n" + i));
      cluster.net.cutBoth(cluster.address("c1"), cluster.address("n" + i));
    }
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    SimNode asker = cluster.net.startNode(PROBE);
    for (int i = 0; i < 20; i++) {
      CompletableFuture<PullResponse> answer =
          asker
              .rpcClient()
              .call(cluster.address("n4"), request("gateway", "c9"), PullResponse.class, 900);
      cluster.timers.advance(1_000);
      assertThat(failed(answer), is(true));
      assertThat(cluster.read("n4"), equalTo("503"));
      assertThat(cluster.replace("n4", 1, 4), anyOf(is(503), is(504)));
    }
    assertThat(cluster.decommissionState("n4", "v1"), equalTo("503"));
  }

  @Test
  void gatewaysPollThePlatformWhileAllNodesArePartitioned() {
    startControlPlane();
    cluster.platformReply =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\",\"cold_left_ms\":0,"
            + "\"id\":\"i-1\"}],\"next_token\":null}";
    cluster.gatewayWithPlatform("c1");
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.gateways.get("c1").servers().size() == 1),
        is(true));
    Partition.BOTH_WAYS.begin(cluster);
    cluster.net.cutBoth(cluster.address("n2"), cluster.address("n3"));
    cluster.timers.advance(3_000);
    cluster.platformReply = cluster.platformReply.replace("open_for_post", "closing");
    assertThat(
        cluster.awaitWithin(4_000, () -> cluster.gateways.get("c1").servers().get(0).draining()),
        is(true));
    long oldest = 0;
    for (int ms = 0; ms < CUT_MS; ms += 50) {
      cluster.timers.advance(50);
      oldest = Math.max(oldest, cluster.gateways.get("c1").serverListAgeMs());
      assertThat(cluster.gateways.get("c1").config().version(), is(1L));
    }
    System.out.println("no majority anywhere: the list is " + oldest + " ms old at most");
    assertThat(oldest, lessThan(4_000L));
  }
}
