package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Guards against review/1: a job that was refused with 429 ran after all stores had been killed at
 * once. The tests force the order of events: one store accepts the record of the job, all stores
 * are killed, another job takes the quota, and the other two stores answer the next round.
 */
class RefusedJobTest {
  private static final long LIMIT = 1_000;
  private static final long TOKENS = 600;
  private static final String JOB = "refused";
  private static final String KEY = "lot/" + JOB;

  /** Longer than it takes until a store that missed a change has its record committed again. */
  private static final long REPAIR_MS = 30_000;

  private final ReplicatedBatchCluster cluster = new ReplicatedBatchCluster(7, 3, LIMIT);

  /** Whether the store has the body of the job, which came with the last prepare request. */
  private boolean hasBody(int store) {
    String bodyPrefix = ReplicatedBatchCluster.VOTER_SET_NAME + "/b/lot%2F" + JOB + "/";
    return cluster.stores.get(store).disk.names(bodyPrefix).iterator().hasNext();
  }

  private boolean hasAccepted(int store) {
    return cluster.stores.get(store).replica.acceptedValue(KEY) != null;
  }

  /** Advances the clock until the first store alone has accepted the record of the job. */
  private void awaitAcceptAtFirstStoreOnly(int gateway) {
    String address = cluster.gateways.get(gateway).address;
    for (int ms = 0; ms < 2_000 && !(hasBody(0) && (hasBody(1) || hasBody(2))); ms++) {
      cluster.timers.advance(1);
    }
    cluster.net.cut(address, cluster.stores.get(1).address);
    cluster.net.cut(address, cluster.stores.get(2).address);
    for (int ms = 0; ms < 500 && !hasAccepted(0); ms++) {
      cluster.timers.advance(1);
    }
    assertThat("the first store has accepted the record", hasAccepted(0), is(true));
    assertThat(
        "another store has accepted the record", hasAccepted(1) || hasAccepted(2), is(false));
  }

  /** Kills all stores, and starts all but the first again, at once, with their disks. */
  private void killAllStoresAndStartTwo() {
    cluster.stores.forEach(store -> store.kill(false));
    cluster.net.healAll();
    cluster.stores.get(1).start();
    cluster.stores.get(2).start();
  }

  private void assertNotRunAfterFirstStoreReturned() {
    cluster.stores.get(0).start();
    cluster.timers.advance(REPAIR_MS);
    assertThat(cluster.completedItemIds.contains(JOB + "-0"), is(false));
  }

  /** Submits the job at the first gateway until the first store alone has accepted its record. */
  private CompletableFuture<BatchService.Reply> proposeToFirstStoreOnly() {
    cluster.timers.advance(1_000);
    CompletableFuture<BatchService.Reply> reply = submitAt(0);
    awaitAcceptAtFirstStoreOnly(0);
    return reply;
  }

  private void acceptRivalAtSecondGateway() {
    CompletableFuture<BatchService.Reply> rival =
        cluster.submit(cluster.gateways.get(1), "rival", 1, TOKENS);
    assertThat(cluster.await(rival).status(), is(202));
  }

  private CompletableFuture<BatchService.Reply> submitAt(int gateway) {
    return cluster.submit(cluster.gateways.get(gateway), JOB, 1, TOKENS);
  }

  @Test
  void jobRefusedInTheCallThatProposedItNeverRuns() {
    CompletableFuture<BatchService.Reply> refused = proposeToFirstStoreOnly();
    killAllStoresAndStartTwo();
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(refused).status(), is(429));
    assertNotRunAfterFirstStoreReturned();
  }

  @Test
  void jobRefusedByTwoGatewaysNeverRuns() {
    CompletableFuture<BatchService.Reply> refused = proposeToFirstStoreOnly();
    killAllStoresAndStartTwo();
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(refused).status(), is(429));
    assertThat(cluster.await(submitAt(2)).status(), is(429));
    assertNotRunAfterFirstStoreReturned();
  }

  /** The first call of the gateway that proposed the job ends without an outcome. */
  @Test
  void jobRefusedInTheCallAfterTheOneThatProposedItNeverRuns() {
    CompletableFuture<BatchService.Reply> refused = proposeToFirstStoreOnly();
    cluster.stores.forEach(store -> store.kill(false));
    cluster.net.healAll();
    cluster.timers.advance(1_600);
    cluster.stores.get(1).start();
    cluster.stores.get(2).start();
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(refused).status(), is(429));
    assertNotRunAfterFirstStoreReturned();
  }

  /** The gateway that proposed the job ends without an answer, and another one refuses the job. */
  @Test
  void jobRefusedAfterTheGatewayThatProposedItEndedNeverRuns() {
    proposeToFirstStoreOnly();
    cluster.gateways.get(0).kill();
    killAllStoresAndStartTwo();
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(submitAt(2)).status(), is(429));
    assertNotRunAfterFirstStoreReturned();
  }

  /** As above, but the stores keep running, so that they know of the attempt. */
  @Test
  void jobRefusedAfterTheGatewayThatProposedItWasCutOffNeverRuns() {
    proposeToFirstStoreOnly();
    cluster.gateways.get(0).kill();
    cluster.stores.get(0).kill(false);
    cluster.net.healAll();
    // The reservations of the attempt expire, the stores' knowledge of it does not.
    cluster.timers.advance(6_000);
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(submitAt(2)).status(), is(429));
    assertNotRunAfterFirstStoreReturned();
  }

  /** A DELETE that finds no job is final for what was proposed before. */
  @Test
  void jobThatWasNotFoundByItsCancellationNeverRuns() {
    proposeToFirstStoreOnly();
    cluster.gateways.get(0).kill();
    killAllStoresAndStartTwo();
    CompletableFuture<BatchService.Reply> cancelled =
        cluster.gateways.get(2).batchApi.cancel(TenantName.NONE, JOB);
    assertThat(cluster.await(cancelled).status(), is(404));
    assertNotRunAfterFirstStoreReturned();
  }

  /** Clients don't pay: a job refused before any round proposed it leaves no write behind. */
  @Test
  void jobRefusedBeforeItWasProposedIsRefusedWithoutAnAccept() {
    acceptRivalAtSecondGateway();
    assertThat(cluster.await(submitAt(0)).status(), is(429));
    assertThat(cluster.await(submitAt(2)).status(), is(429));
    for (ReplicatedBatchCluster.StoreNode store : cluster.stores) {
      assertThat(store.service.absences(), is(0));
    }
  }
}
