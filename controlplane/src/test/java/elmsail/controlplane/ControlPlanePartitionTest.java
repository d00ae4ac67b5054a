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
 * A control-plane node has no contact with a majority for 20 s because of a partition or a freeze.
 * Meanwhile it must serve no configuration, acknowledge no change and reject none with a final
 * status. Afterwards it must adopt what the other nodes have committed meanwhile.
 */
class ControlPlanePartitionTest extends PartitionTestBase {
  private static final long MAX_PROPAGATION_MS = 2_000;

  /** Starts a gateway that reaches only n1. */
  private void startGatewayReachingOnlyN1(String name) {
    cluster.net.cutBoth(cluster.address(name), cluster.address("n2"));
    cluster.net.cutBoth(cluster.address(name), cluster.address("n3"));
    cluster.startGateway(name);
  }

  @ParameterizedTest
  @EnumSource
  void startingGatewayDoesNotReceiveAnOutdatedConfig(Partition partition) {
    startControlPlane();
    partition.begin(cluster);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    startGatewayReachingOnlyN1("c1");
    long end = cluster.timers.now() + PARTITION_MS;
    while (cluster.timers.now() < end) {
      cluster.timers.advance(50);
      assertThat(cluster.gateways.get("c1").config(), nullValue());
    }
    for (String other : new String[] {"n2", "n3"}) {
      cluster.net.healBoth(cluster.address("n1"), cluster.address(other));
    }
    long healedAt = cluster.timers.now();
    assertThat(
        cluster.awaitWithin(MAX_PROPAGATION_MS, () -> cluster.gateways.get("c1").config() != null),
        is(true));
    assertThat(cluster.gateways.get("c1").config().version(), is(3L));
    System.out.println(
        partition
            + ": configuration received "
            + (cluster.timers.now() - healedAt)
            + " ms after the heal");
  }

  @Test
  void runningGatewayKeepsItsConfigAndFollowsOtherNodes() {
    startControlPlane();
    cluster.startGateway("c1");
    startGatewayReachingOnlyN1("c2");
    cluster.timers.advance(1_000);
    Partition.BOTH_WAYS.begin(cluster);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    assertThat(
        cluster.awaitWithin(
            MAX_PROPAGATION_MS, () -> cluster.gateways.get("c1").config().version() == 3),
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
    pull(pullRequest("gateway", "c9"), 1_000);
    cluster.timers.advance(500);
    CompletableFuture<PullResponse> first = pull(pullRequest("gateway", "c9"), 1_000);
    assertThat(cluster.awaitWithin(1_000, first::isDone), is(true));
    PullRequest longPoll = pullRequest("gateway", "c9");
    longPoll.configVersion = first.join().configVersion;
    longPoll.serverListEpoch = Long.MAX_VALUE;
    longPoll.viewVersion = first.join().viewVersion;
    longPoll.maxWaitMs = 5_000;
    CompletableFuture<PullResponse> response = pull(longPoll, 30_000);
    cluster.timers.advance(100);
    assertThat(response.isDone(), is(false));
    Partition.BOTH_WAYS.begin(cluster);
    cluster.timers.advance(6_000);
    assertThat(response.isDone(), is(true));
    assertThat(hasFailed(response), is(true));
  }

  /**
   * Freezes n1 at various offsets within its read interval, so that some freezes hit a read in
   * flight.
   */
  @Test
  void thawedNodePublishesNoOutdatedConfig() {
    for (int offsetMs = 0; offsetMs < 300; offsetMs += 4) {
      newCluster(offsetMs);
      startControlPlane();
      cluster.timers.advance(offsetMs);
      freezeThawAndPull();
    }
  }

  private void freezeThawAndPull() {
    cluster.net.freeze(cluster.address("n1"));
    cluster.timers.advance(10);
    CompletableFuture<PullResponse> pullDuringFreeze = pull(pullRequest("gateway", "c9"), 60_000);
    cluster.timers.advance(10);
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(PARTITION_MS);
    cluster.net.thaw(cluster.address("n1"));
    cluster.timers.advance(0);
    for (int ms = 0; ms < 100; ms++) {
      CompletableFuture<PullResponse> pullAfterThaw = pull(pullRequest("gateway", "c8"), 1_000);
      cluster.timers.advance(1);
      assertNoConfigOlderThan(3, pullDuringFreeze);
      assertNoConfigOlderThan(3, pullAfterThaw);
    }
    CompletableFuture<PullResponse> laterPull = pull(pullRequest("gateway", "c9"), 1_000);
    assertThat(cluster.awaitWithin(1_000, laterPull::isDone), is(true));
    assertThat(laterPull.join().configVersion, is(3L));
  }

  private static void assertNoConfigOlderThan(
      long minVersion, CompletableFuture<PullResponse> response) {
    if (response.isDone() && !hasFailed(response) && response.join().config != null) {
      assertThat(response.join().configVersion, greaterThanOrEqualTo(minVersion));
    }
  }

  @Test
  void thawedGatewayReportsItsServerListAsOutdated() {
    startControlPlane();
    cluster.platformReply =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\",\"cold_left_ms\":0,"
            + "\"id\":\"i-1\"}],\"next_token\":null}";
    cluster.startGateway("c1");
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.gateways.get("c1").servers().size() == 1),
        is(true));
    cluster.timers.advance(100);
    cluster.net.freeze(cluster.address("c1"));
    cluster.timers.advance(PARTITION_MS);
    cluster.net.thaw(cluster.address("c1"));
    cluster.timers.advance(0);
    assertThat(cluster.gateways.get("c1").serverListAgeMs(), greaterThanOrEqualTo(PARTITION_MS));
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
      assertThat(
          "a change on an outdated base version",
          cluster.replace("n1", 1, 4),
          anyOf(is(503), is(504)));
      assertThat("a repeated change", cluster.replace("n1", 1, 3), anyOf(is(503), is(504)));
      assertThat(
          "a change on the current base version",
          cluster.replace("n1", 3, 5),
          anyOf(is(503), is(504)));
      assertThat(cluster.read("n1"), equalTo("503"));
    }
  }

  @Test
  void changesRacingWithTheHealHaveOneWinner() {
    for (int sentBeforeHealMs = 0; sentBeforeHealMs <= 800; sentBeforeHealMs += 100) {
      SimulatedCluster other = new SimulatedCluster(sentBeforeHealMs, 3);
      for (int i = 1; i <= 3; i++) {
        other.startControlPlane("n" + i, true);
      }
      assertThat(other.replaceAnywhere(0, 1), is(200));
      Partition.BOTH_WAYS.begin(other);
      other.timers.advance(PARTITION_MS);
      CompletableFuture<SimpleHttpResponse> sentBeforeHeal = other.sendReplace("n1", "1", 4);
      other.timers.advance(sentBeforeHealMs);
      other.net.healAll();
      CompletableFuture<SimpleHttpResponse> sentToMajority = other.sendReplace("n2", "1", 3);
      CompletableFuture<SimpleHttpResponse> sentAfterHeal = other.sendReplace("n1", "1", 6);
      int statusBeforeHeal = other.status(sentBeforeHeal);
      int statusAtMajority = other.status(sentToMajority);
      int statusAfterHeal = other.status(sentAfterHeal);
      int committedCount =
          (statusBeforeHeal == 200 ? 1 : 0)
              + (statusAtMajority == 200 ? 1 : 0)
              + (statusAfterHeal == 200 ? 1 : 0);
      assertThat(
          statusBeforeHeal + " " + statusAtMajority + " " + statusAfterHeal,
          committedCount,
          lessThanOrEqualTo(1));
      if (committedCount == 1) {
        long winner = statusBeforeHeal == 200 ? 4 : statusAtMajority == 200 ? 3 : 6;
        assertThat(other.read("n3"), equalTo(SimulatedCluster.config(winner)));
      }
      assertThat(
          statusBeforeHeal + " " + statusAtMajority + " " + statusAfterHeal, committedCount, is(1));
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
    cluster.timers.advance(PARTITION_MS);
    cluster.net.thaw(cluster.address("n1"));
    assertThat(cluster.status(read), is(503));
  }

  @Test
  void configIsServedSoonAfterAllRestartWithAtMostOneLost() {
    for (int lost = 0; lost <= 1; lost++) {
      SimulatedCluster other = new SimulatedCluster(5 + lost, 3);
      for (int i = 1; i <= 3; i++) {
        other.startControlPlane("n" + i, true);
      }
      assertThat(other.replaceAnywhere(0, 1), is(200));
      for (int i = 1; i <= 3; i++) {
        other.net.kill(other.address("n" + i), false);
      }
      other.timers.advance(2_000);
      long restartedAtMs = other.timers.now();
      for (int i = 1; i <= 3 - lost; i++) {
        other.startControlPlane("n" + i, false);
      }
      other.startGateway("c1");
      assertThat(
          other.awaitWithin(1_000, () -> other.gateways.get("c1").config() != null), is(true));
      System.out.println(
          lost
              + " lost: configuration received "
              + (other.timers.now() - restartedAtMs)
              + " ms after the restart");
    }
  }

  @Test
  void contactSurvivesOneLostVoterAndLostMessages() {
    startControlPlane();
    cluster.net.kill(cluster.address("n3"), false);
    cluster.net.loss(0.02);
    int refusedPulls = 0;
    for (int i = 0; i < 600; i++) {
      PullRequest request = pullRequest("gateway", "c9");
      request.maxWaitMs = 0;
      CompletableFuture<PullResponse> response = pull(request, 1_000);
      cluster.net.loss(PROBE_ADDRESS, cluster.address("n1"), 0);
      cluster.net.loss(cluster.address("n1"), PROBE_ADDRESS, 0);
      cluster.timers.advance(100);
      refusedPulls += response.isDone() && !hasFailed(response) ? 0 : 1;
    }
    System.out.println(
        "pulls rejected with one voter and 2 % of the messages lost: " + refusedPulls);
    assertThat(refusedPulls, lessThan(6));
  }

  @Test
  void partitionedNonVoterPublishesNothing() {
    startControlPlane();
    cluster.startControlPlane("n4", true, false);
    cluster.timers.advance(2_000);
    for (int i = 1; i <= 3; i++) {
      cluster.net.cutBoth(cluster.address("n4"), cluster.address("n" + i));
      cluster.net.cutBoth(cluster.address("c1"), cluster.address("n" + i));
    }
    assertThat(cluster.replace("n2", 1, 3), is(200));
    cluster.timers.advance(CONTACT_MAX_AGE_MS);
    SimNode puller = cluster.net.startNode(PROBE_ADDRESS);
    for (int i = 0; i < 20; i++) {
      CompletableFuture<PullResponse> response =
          puller
              .rpcClient()
              .call(cluster.address("n4"), pullRequest("gateway", "c9"), PullResponse.class, 900);
      cluster.timers.advance(1_000);
      assertThat(hasFailed(response), is(true));
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
    cluster.startGatewayWithPlatform("c1");
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
    long maxListAgeMs = 0;
    for (int ms = 0; ms < PARTITION_MS; ms += 50) {
      cluster.timers.advance(50);
      maxListAgeMs = Math.max(maxListAgeMs, cluster.gateways.get("c1").serverListAgeMs());
      assertThat(cluster.gateways.get("c1").config().version(), is(1L));
    }
    System.out.println(
        "no majority on any side: the server list is at most " + maxListAgeMs + " ms old");
    assertThat(maxListAgeMs, lessThan(4_000L));
  }
}
