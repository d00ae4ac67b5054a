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
  private final SimulatedCluster cluster = new SimulatedCluster(7, 3);

  private void startControlPlane() {
    cluster.startControlPlane("n1", true);
    cluster.startControlPlane("n2", true);
    cluster.startControlPlane("n3", true);
  }

  private void startControlPlaneAndStores(int stores) {
    startControlPlane();
    for (int i = 1; i <= stores; i++) {
      cluster.startStore("v" + i, true);
    }
  }

  private void startUntilStoresAreVoters(int stores) {
    startControlPlaneAndStores(stores);
    assertThat(
        cluster.awaitWithin(
            5_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v2/1 v3/1")),
        is(true));
  }

  @Test
  void configIsCommittedSoonAfterStartAndReachesGateways() {
    startControlPlane();
    cluster.startGateway("c1");
    assertThat(cluster.replaceAnywhere(0, 3), is(200));
    assertThat(cluster.timers.now(), lessThan(3_500L));
    assertThat(
        cluster.awaitWithin(500, () -> cluster.gateways.get("c1").config() != null), is(true));
    assertThat(cluster.gateways.get("c1").config().version(), is(3L));
    assertThat(cluster.read("n3"), equalTo(SimulatedCluster.config(3)));
    assertThat(cluster.replace("n2", 3, 9), is(200));
    assertThat(
        cluster.awaitWithin(300, () -> cluster.gateways.get("c1").config().version() == 9),
        is(true));
  }

  @Test
  void nodesBootstrapInAnyStartOrder() {
    for (int order = 0; order < 6; order++) {
      SimulatedCluster other = new SimulatedCluster(order, 3);
      int first = order % 3 + 1;
      int second = order < 3 ? first % 3 + 1 : (first + 1) % 3 + 1;
      other.startControlPlane("n" + first, true);
      other.timers.advance(100);
      other.startControlPlane("n" + second, true);
      other.timers.advance(200);
      other.startControlPlane("n" + (6 - first - second), true);
      assertThat("order " + order, other.replaceAnywhere(0, 3), is(200));
    }
  }

  @Test
  void singleSeedBootstrapsAlone() {
    SimulatedCluster other = new SimulatedCluster(1, 1);
    other.startControlPlane("n1", true);
    assertThat(other.replaceAnywhere(0, 3), is(200));
    assertThat(other.read("n1"), equalTo(SimulatedCluster.config(3)));
  }

  @Test
  void concurrentChangesOnSameBaseHaveOneWinner() {
    startControlPlane();
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    long current = 1;
    for (int i = 0; i < 20; i++) {
      String base = String.valueOf(current);
      long a = current + 1;
      long b = current + 2;
      CompletableFuture<SimpleHttpResponse> one = cluster.sendReplace("n1", base, a);
      cluster.timers.advance(i % 4);
      CompletableFuture<SimpleHttpResponse> two = cluster.sendReplace("n2", base, b);
      int statusOne = cluster.status(one);
      int statusTwo = cluster.status(two);
      assertThat(statusOne + " " + statusTwo, anyOf(equalTo("200 412"), equalTo("412 200")));
      current = statusOne == 200 ? a : b;
      assertThat(cluster.read("n3"), equalTo(SimulatedCluster.config(current)));
      assertThat(
          "the same change sent again to another node",
          cluster.replace("n3", Long.parseLong(base), current),
          is(200));
    }
  }

  @Test
  void changeFailsWithoutMajorityAndIsCommittedOnceNodesAreBack() {
    startControlPlane();
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    cluster.kill("n2");
    cluster.kill("n3");
    assertThat(cluster.replace("n1", 1, 2), anyOf(is(503), is(504)));
    assertThat(cluster.read("n1"), equalTo("503"));
    cluster.startControlPlane("n2", false);
    cluster.startControlPlane("n3", false);
    assertThat(cluster.replaceAnywhere(1, 2), is(200));
    assertThat(cluster.read("n2"), equalTo(SimulatedCluster.config(2)));
  }

  @Test
  void startingNodePublishesNothingBeforeMajorityRead() {
    startControlPlane();
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    for (int i = 1; i <= 3; i++) {
      cluster.kill("n" + i);
    }
    cluster.startControlPlane("n1", false);
    cluster.startGateway("c1");
    cluster.timers.advance(3_000);
    assertThat(cluster.gateways.get("c1").view().controlPlaneVoters.voters.isEmpty(), is(true));
    assertThat(cluster.gateways.get("c1").config() == null, is(true));
    cluster.startControlPlane("n2", false);
    assertThat(
        cluster.awaitWithin(2_000, () -> cluster.gateways.get("c1").config() != null), is(true));
  }

  @Test
  void partitionedNodeRejectsChangesAndCatchesUpAfterHeal() {
    startControlPlane();
    cluster.startGateway("c1");
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    cluster.timers.advance(1_000);
    cluster.net.cutBoth(cluster.address("n1"), cluster.address("n2"));
    cluster.net.cutBoth(cluster.address("n1"), cluster.address("n3"));
    assertThat(cluster.replace("n1", 1, 2), anyOf(is(503), is(504)));
    assertThat(cluster.replace("n2", 1, 3), is(200));
    assertThat(
        cluster.awaitWithin(1_000, () -> cluster.gateways.get("c1").config().version() == 3),
        is(true));
    assertThat(cluster.read("n1"), equalTo("503"));
    cluster.net.healAll();
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.read("n1").equals(SimulatedCluster.config(3))),
        is(true));
    assertThat(cluster.replace("n1", 1, 2), is(412));
  }

  @Test
  void acknowledgedConfigSurvivesPowerLossOfAllNodes() {
    startControlPlane();
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    assertThat(cluster.replaceAnywhere(1, 5), is(200));
    for (int i = 1; i <= 3; i++) {
      cluster.net.kill(cluster.address("n" + i), false);
      cluster.disks.get("n" + i).powerLoss();
    }
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, false);
    }
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.read("n1").equals(SimulatedCluster.config(5))),
        is(true));
    cluster.startGateway("c1");
    assertThat(
        cluster.awaitWithin(1_000, () -> cluster.gateways.get("c1").config() != null), is(true));
  }

  @Test
  void nodesWipedOneAfterAnotherRecover() {
    startControlPlane();
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    for (int i = 1; i <= 3; i++) {
      String name = "n" + i;
      cluster.wipe(name);
      cluster.timers.advance(500);
      cluster.startControlPlane(name, false);
      cluster.timers.advance(5_000);
      assertThat("after " + name, cluster.read(name), equalTo(SimulatedCluster.config(1)));
    }
    assertThat(cluster.replaceAnywhere(1, 2), is(200));
  }

  @Test
  void disklessNodeProposesChangesAndRedirectsDecommissioning() {
    startControlPlane();
    cluster.startControlPlane("n4", true, false);
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    assertThat(cluster.awaitWithin(2_000, () -> cluster.replace("n4", 1, 2) == 200), is(true));
    assertThat(cluster.read("n4"), equalTo(SimulatedCluster.config(2)));
    CompletableFuture<SimpleHttpResponse> redirect =
        cluster.call("n4", "GET", "/Retire.Read/v1", null, "");
    assertThat(cluster.status(redirect), is(307));
    assertThat(redirect.join().headers().get("location"), containsString(":8166/Retire.Read/v1"));
  }

  @Test
  void serverListIsPolledByOneNodeAndReachesGateways() {
    startControlPlane();
    cluster.startGateway("c1");
    cluster.platformReply =
        "{\"servers\":[{\"postal_line\":\"p\",\"address\":\"10.8.0.1:80\",\"zone\":\"z1\","
            + "\"edition\":\"v1\",\"berths\":4,\"state\":\"open_for_post\","
            + "\"cold_left_ms\":0,\"id\":\"i-1\"}],"
            + "\"next_token\":null}";
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.gateways.get("c1").servers().size() == 1),
        is(true));
    cluster.timers.advance(5_000);
    int before = cluster.platformCalls;
    cluster.timers.advance(10_000);
    assertThat(cluster.platformCalls - before, lessThan(22));
    assertThat(cluster.platformCalls - before, greaterThan(17));
    assertThat(cluster.gateways.get("c1").serverListAgeMs(), lessThan(2_200L));
    cluster.platformReply = cluster.platformReply.replace("open_for_post", "closing");
    assertThat(
        cluster.awaitWithin(700, () -> cluster.gateways.get("c1").servers().get(0).draining()),
        is(true));
  }

  @Test
  void anotherNodePollsPlatformAfterLeaseHolderIsLost() {
    startControlPlane();
    cluster.startGateway("c1");
    cluster.timers.advance(3_000);
    cluster.net.kill(cluster.address("n1"), false);
    cluster.timers.advance(5_000);
    int before = cluster.platformCalls;
    cluster.timers.advance(5_000);
    assertThat(cluster.platformCalls - before, greaterThan(7));
    assertThat(cluster.gateways.get("c1").serverListAgeMs(), lessThan(2_200L));
  }

  @Test
  void jobStoreVotersStayTheSameOverRestartOfAll() {
    startUntilStoresAreVoters(4);
    assertThat(cluster.stores.get("v4").replica().isVoting(), is(false));
    for (int i = 1; i <= 3; i++) {
      cluster.kill("n" + i);
    }
    for (int i = 1; i <= 4; i++) {
      cluster.kill("v" + i);
    }
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, false);
    }
    for (int i = 1; i <= 4; i++) {
      cluster.startStore("v" + i, false);
    }
    cluster.timers.advance(6_000);
    assertThat(cluster.describeJobStoreVoters("v1"), equalTo("v1/1 v2/1 v3/1"));
  }

  @Test
  void fewerStoresThanSlotsBootstrapAfterDelay() {
    startControlPlaneAndStores(2);
    assertThat(
        cluster.awaitWithin(5_000, () -> !cluster.describeJobStoreVoters("v1").isEmpty()),
        is(false));
    assertThat(
        cluster.awaitWithin(3_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v2/1")),
        is(true));
  }

  @Test
  void spareTakesOverSlotOfLostStore() {
    startUntilStoresAreVoters(4);
    cluster.timers.advance(2_000);
    cluster.net.kill(cluster.address("v2"), false);
    assertThat(
        cluster.awaitWithin(
            6_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v4/2 v3/1")),
        is(true));
    cluster.startStore("v2", false);
    cluster.timers.advance(4_000);
    assertThat(cluster.describeJobStoreVoters("v1"), equalTo("v1/1 v4/2 v3/1"));
    assertThat(cluster.stores.get("v2").replica().isVoting(), is(false));
  }

  @Test
  void wipedStoreRejoinsItsOwnSlot() {
    startUntilStoresAreVoters(3);
    cluster.timers.advance(1_000);
    cluster.wipe("v2");
    cluster.startStore("v2", false);
    assertThat(
        cluster.awaitWithin(
            3_000, () -> cluster.describeJobStoreVoters("v1").equals("v1/1 v2/2 v3/1")),
        is(true));
  }

  @Test
  void decommissioningOneOfFourMovesItsSlotAndReportsDelivered() {
    startUntilStoresAreVoters(4);
    cluster.timers.advance(3_000);
    assertThat(cluster.beginDecommission("n2", "v9"), is(404));
    assertThat(cluster.beginDecommission("n2", "v2"), is(200));
    assertThat(cluster.beginDecommission("n3", "v2"), is(200));
    String delivered = "{\"state\":\"delivered\"}";
    assertThat(
        cluster.awaitWithin(8_000, () -> cluster.decommissionState("n3", "v2").equals(delivered)),
        is(true));
    assertThat(cluster.describeJobStoreVoters("v1"), equalTo("v1/1 v4/2 v3/1"));
    assertThat(cluster.decommissionState("n3", "v1"), equalTo("{\"state\":\"in_service\"}"));
    assertThat("too few would remain", cluster.beginDecommission("n1", "v3"), is(409));
  }

  @Test
  void decommissioningOneOfThreeIsRejected() {
    startUntilStoresAreVoters(3);
    cluster.timers.advance(3_500);
    assertThat(cluster.beginDecommission("n1", "v2"), is(409));
    assertThat(cluster.decommissionState("n1", "v2"), equalTo("{\"state\":\"in_service\"}"));
  }

  @Test
  void deliveredIsNotReportedBeforeSuccessorHasCopiedTheState() {
    startUntilStoresAreVoters(4);
    cluster.timers.advance(3_000);
    cluster.disks.get("v4").stall(5_000);
    assertThat(cluster.beginDecommission("n1", "v2"), is(200));
    long end = cluster.timers.now() + 4_500;
    while (cluster.timers.now() < end) {
      assertThat(cluster.decommissionState("n1", "v2"), equalTo("{\"state\":\"in_service\"}"));
      cluster.timers.advance(100);
    }
    String delivered = "{\"state\":\"delivered\"}";
    assertThat(
        cluster.awaitWithin(8_000, () -> cluster.decommissionState("n1", "v2").equals(delivered)),
        is(true));
    assertThat(cluster.stores.get("v4").replica().isVoting(), is(true));
  }
}
