package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import elmsail.runtime.http.SimpleHttpResponse;
import elmsail.simulation.SimDisk;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against a refusal that does not hold: a decommission order whose first try left a proposal
 * at one voter is refused with 409 at another node, and must not take effect later.
 */
class RefusedDecommissionTest {
  private static final String LIST_RECORD = "head/k/" + DecommissionList.KEY;
  private static final String STORE = "v1";

  /** Longer than a store counts as one that may return by itself. */
  private static final long LOST_STORE_MS = 35_000;

  private final SimulatedCluster cluster = new SimulatedCluster(11, 3);

  private void startCluster() {
    for (int i = 1; i <= 3; i++) {
      cluster.startControlPlane("n" + i, true);
    }
    assertThat(cluster.replaceAnywhere(0, 1), is(200));
    for (int i = 1; i <= 4; i++) {
      cluster.startStore("v" + i, true);
    }
    cluster.timers.advance(8_000);
    assertThat(cluster.describeJobStoreVoters(STORE), not(is("")));
  }

  private boolean hasListRecord(String node) {
    return cluster.disks.get(node).read(LIST_RECORD) != null;
  }

  /** Whether the value that this voter accepted last names the store. */
  private boolean hasAcceptedListing(String node) {
    SimDisk disk = cluster.disks.get(node);
    byte[] record = disk.read(LIST_RECORD);
    return record != null
        && new String(record, StandardCharsets.ISO_8859_1).contains("\0\2" + STORE);
  }

  /** Sends the order to n1, whose accept request reaches no other voter. */
  private CompletableFuture<SimpleHttpResponse> beginAtFirstNodeOnly() {
    CompletableFuture<SimpleHttpResponse> reply =
        cluster.call("n1", "POST", "/Retire.Begin/" + STORE, null, "{\"over_s\":10}");
    for (int ms = 0; ms < 500 && !(hasListRecord("n2") || hasListRecord("n3")); ms++) {
      cluster.timers.advance(1);
    }
    cluster.net.cut(cluster.address("n1"), cluster.address("n2"));
    cluster.net.cut(cluster.address("n1"), cluster.address("n3"));
    for (int ms = 0; ms < 500 && !hasAcceptedListing("n1"); ms++) {
      cluster.timers.advance(1);
    }
    assertThat("n1 has accepted the listing", hasAcceptedListing("n1"), is(true));
    assertThat("n2 has accepted the listing", hasAcceptedListing("n2"), is(false));
    assertThat("n3 has accepted the listing", hasAcceptedListing("n3"), is(false));
    return reply;
  }

  @Test
  void orderRefusedAtAnotherNodeNeverTakesEffect() {
    startCluster();
    CompletableFuture<SimpleHttpResponse> first = beginAtFirstNodeOnly();
    cluster.net.isolate(cluster.address("n1"));
    assertThat(cluster.awaitWithin(2_000, first::isDone), is(true));
    assertThat("the outcome is unknown", first.join().status(), is(504));
    cluster.net.kill(cluster.address("v4"), false);
    cluster.timers.advance(LOST_STORE_MS);
    assertThat("too few would remain", cluster.beginDecommission("n2", STORE), is(409));
    cluster.net.healAll();
    cluster.net.kill(cluster.address("n3"), true);
    cluster.timers.advance(10_000);
    assertThat(hasAcceptedListing("n1"), is(false));
    assertThat(hasAcceptedListing("n2"), is(false));
    assertThat(cluster.decommissionState("n2", STORE), containsString("in_service"));
  }
}
