package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.RevocationBound;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a gateway that still admits a key more than {@code revoke_ms} after the key was
 * removed, because the gateway has lost contact with the control plane and does not receive the
 * change. Also guards against a gateway that rejects keys although it receives changes.
 */
class RevocationBoundTest extends ConfigWatcherTestBase {
  private static final long REVOKE_MS = 5_000;
  private static final String D = "10.4.0.40:7721";
  private static final String E = "10.5.0.50:7721";

  private final ConfigWatcher gateway = watcherWithRevocation(REVOKE_MS);
  private final RevocationBound bound = new RevocationBound(gateway, REVOKE_MS);

  @BeforeEach
  void publish() {
    for (WatchServer node : List.of(a, b, c)) {
      node.setConfig(7, config(7));
    }
    setConfirmedAgeOfAllNodes(300);
  }

  private void setConfirmedAgeOfAllNodes(long ageMs) {
    for (String address : List.of(A, B, C)) {
      network.configConfirmedAges.put(address, ageMs);
    }
  }

  private void rejectRequestsAt(String address) {
    network.controlPlanes.put(
        address,
        request ->
            CompletableFuture.failedFuture(
                new ElmsailException(ErrorCode.NOT_A_VOTER, "disconnected")));
  }

  /** The maximum age of the confirmation during the next {@code ms}. */
  private long maxConfirmedAgeWithin(long ms) {
    long maxAgeMs = 0;
    for (long i = 0; i < ms; i++) {
      timers.advance(1);
      maxAgeMs = Math.max(maxAgeMs, gateway.configConfirmedAgeMs());
    }
    return maxAgeMs;
  }

  @Test
  void noKeyIsAdmittedBeforeTheFirstResponse() {
    gateway.start();
    assertThat(bound.mayAdmitKeys(), is(false));
    timers.advance(20);
    assertThat(bound.mayAdmitKeys(), is(true));
  }

  @Test
  void connectedGatewayAlwaysAdmitsKeys() {
    gateway.start();
    timers.advance(100);
    assertThat(maxConfirmedAgeWithin(20_000), lessThan(2_500L));
  }

  @Test
  void oneReachableNodeKeepsTheConfirmationRecentEnough() {
    gateway.start();
    timers.advance(100);
    setConfirmedAgeOfAllNodes(1_500);
    network.droppedRequests.add(A);
    network.droppedResponses.add(B);
    assertThat(maxConfirmedAgeWithin(20_000), lessThan(REVOKE_MS - 100));
  }

  @Test
  void disconnectedGatewayStopsAdmittingKeysInTime() {
    gateway.start();
    timers.advance(3_000);
    network.droppedResponses.addAll(List.of(A, B, C));
    long disconnectedAtMs = timers.now();
    while (bound.mayAdmitKeys()) {
      timers.advance(1);
    }
    assertThat(timers.now() - disconnectedAtMs, lessThanOrEqualTo(REVOKE_MS - 100));
    timers.advance(60_000);
    assertThat(bound.mayAdmitKeys(), is(false));
    network.droppedResponses.clear();
    timers.advance(3_000);
    assertThat(bound.mayAdmitKeys(), is(true));
  }

  @Test
  void ageOfADelayedResponseIsMeasuredFromItsRequest() {
    CompletableFuture<PullResponse> late = new CompletableFuture<>();
    rejectRequestsAt(B);
    rejectRequestsAt(C);
    gateway.start();
    timers.advance(100);
    network.controlPlanes.put(A, request -> late);
    timers.advance(1_000);
    timers.advance(200);
    List<Long> requestTimes = network.requestTimes(A);
    long requestedAtMs = requestTimes.get(requestTimes.size() - 1);
    PullResponse response = new PullResponse();
    response.configVersion = 7;
    timers.advance(1_200);
    late.complete(response);
    timers.advance(10);
    assertThat(gateway.configConfirmedAgeMs(), is(timers.now() - requestedAtMs + 300));
  }

  @Test
  void suspendedGatewayAdmitsNoKeyUntilANewResponse() {
    gateway.start();
    timers.advance(3_000);
    timers.advanceRunningLate(10_000);
    assertThat(bound.mayAdmitKeys(), is(false));
    timers.advance(150);
    assertThat(bound.mayAdmitKeys(), is(true));
  }

  @Test
  void gatewayThatCannotDecodeANewVersionStopsAdmittingKeys() {
    gateway.start();
    timers.advance(3_000);
    for (WatchServer node : List.of(a, b, c)) {
      node.setConfig(8, new byte[] {'{'});
    }
    timers.advance(REVOKE_MS);
    assertThat(gateway.config().version(), is(7L));
    assertThat(bound.mayAdmitKeys(), is(false));
  }

  /**
   * The gateway watches three of five voters. These three no longer reach a majority; the other two
   * do.
   */
  @Test
  void gatewayFindsTheNodesThatStillReachAMajority() {
    WatchServer d = network.controlPlane(D);
    WatchServer e = network.controlPlane(E);
    List.of(d, e).forEach(node -> node.setConfig(7, config(7)));
    network.configConfirmedAges.put(D, 300L);
    network.configConfirmedAges.put(E, 300L);
    for (WatchServer node : List.of(a, b, c, d, e)) {
      node.setViewFactory(
          request -> view(voterSet(A, 1, B, 1, C, 1, D, 1, E, 1), voterSet(), "10.1.0.13:7720"));
    }
    gateway.start();
    timers.advance(3_000);
    List<String> watched = gateway.upstreams();
    watched.forEach(this::rejectRequestsAt);
    assertThat(maxConfirmedAgeWithin(30_000), lessThan(REVOKE_MS - 100));
    List<String> others = new ArrayList<>(List.of(A, B, C, D, E));
    others.removeAll(watched);
    assertThat(gateway.upstreams().containsAll(others), is(true));
    assertThat(gateway.upstreams().size(), is(3));
  }

  @Test
  void changedSeedsProvideAConfirmationInTime() {
    gateway.start();
    timers.advance(3_000);
    List.of(A, B, C).forEach(network.controlPlanes::remove);
    String seed = "10.4.0.40:7721";
    network.controlPlane(seed).setConfig(7, config(7));
    network.configConfirmedAges.put(seed, 300L);
    gateway.onSettingsChanged(ConfigWatcherSeedsTest.settingsWithChangedSeeds());
    assertThat(maxConfirmedAgeWithin(20_000), lessThan(REVOKE_MS - 100));
  }

  @Test
  void nodesThatReturnNoConfirmationAgeAreNotPolledContinuously() {
    gateway.start();
    timers.advance(500);
    network.configConfirmedAges.clear();
    timers.advance(10_000);
    assertThat(network.requestTimes(A).size(), lessThan(20));
    assertThat(bound.mayAdmitKeys(), is(false));
  }

  @Test
  void withoutARevocationBoundNoSearchStartsAndKeysAreAdmitted() {
    watcher.start();
    timers.advance(3_000);
    network.droppedResponses.addAll(List.of(A, B, C));
    timers.advance(3_500);
    assertThat(watcher.upstreams(), containsInAnyOrder(A, B, C));
    assertThat(new RevocationBound(watcher, 0).mayAdmitKeys(), is(true));
  }
}
