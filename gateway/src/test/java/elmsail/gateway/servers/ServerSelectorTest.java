package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import elmsail.gateway.servers.ServerSelector.Candidate;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerSelectorTest {
  private static final double SLOT_RELEASE_INTERVAL_MS = SlotHoldTime.DEFAULT_RELEASE_INTERVAL_MS;
  private static final Candidate EMPTY =
      new Candidate(0, 0, 0, 0, 24, 0, SLOT_RELEASE_INTERVAL_MS, true, false);

  private static Candidate with(int cachedTokens, double running, double queued) {
    return new Candidate(
        cachedTokens, 0, running, queued, 24, 0, SLOT_RELEASE_INTERVAL_MS, true, false);
  }

  @Test
  void noCandidatesYieldsNone() {
    assertThat(ServerSelector.pick(List.of(), 100, 3), is(-1));
  }

  @Test
  void picksTheServerWithMostOfThePromptCached() {
    assertThat(
        ServerSelector.pick(List.of(EMPTY, with(500, 0, 0), with(900, 0, 0)), 2_000, 0), is(2));
  }

  @Test
  void longQueueOutweighsACachedPrompt() {
    assertThat(ServerSelector.pick(List.of(EMPTY, with(900, 0, 3)), 2_000, 0), is(0));
  }

  @Test
  void picksTheLessBusyServerWithoutCachedPrompt() {
    assertThat(ServerSelector.pick(List.of(with(0, 9, 0), with(0, 4, 0)), 2_000, 0), is(1));
  }

  @Test
  void nearlyFullServersAreSkipped() {
    assertThat(ServerSelector.pick(List.of(with(1_900, 24, 0), with(0, 12, 0)), 2_000, 0), is(1));
  }

  @Test
  void ownZoneIsPreferredUnlessAnotherHasMuchMoreCached() {
    Candidate otherZone = new Candidate(0, 0, 0, 0, 24, 0, SLOT_RELEASE_INTERVAL_MS, false, false);
    assertThat(ServerSelector.pick(List.of(otherZone, EMPTY), 2_000, 0), is(1));
    Candidate otherZonePartlyCached =
        new Candidate(1_000, 0, 0, 0, 24, 0, SLOT_RELEASE_INTERVAL_MS, false, false);
    assertThat(ServerSelector.pick(List.of(EMPTY, otherZonePartlyCached), 2_000, 1), is(0));
    Candidate otherZoneMostlyCached =
        new Candidate(1_500, 0, 0, 0, 24, 0, SLOT_RELEASE_INTERVAL_MS, false, false);
    assertThat(ServerSelector.pick(List.of(EMPTY, otherZoneMostlyCached), 2_000, 0), is(1));
  }

  @Test
  void avoidedServerIsPickedOnlyWhenAlone() {
    Candidate failing = new Candidate(2_000, 0, 0, 0, 24, 0, SLOT_RELEASE_INTERVAL_MS, true, true);
    assertThat(ServerSelector.pick(List.of(failing, with(0, 24, 9)), 2_000, 0), is(1));
    assertThat(ServerSelector.pick(List.of(failing), 2_000, 5), is(0));
  }

  @Test
  void equalCandidatesTakeTurns() {
    List<Candidate> equal = List.of(EMPTY, EMPTY, EMPTY);
    assertThat(ServerSelector.pick(equal, 10, 0), is(0));
    assertThat(ServerSelector.pick(equal, 10, 1), is(1));
    assertThat(ServerSelector.pick(equal, 10, 5), is(2));
    assertThat(
        ServerSelector.pick(equal, 10, Integer.MIN_VALUE), is(Math.floorMod(Integer.MIN_VALUE, 3)));
  }

  @Test
  void waitIsTheLongerOfQueueAndPendingPrefill() {
    Candidate prefillOnly =
        new Candidate(0, 0, 0, 0, 24, 3_000, SLOT_RELEASE_INTERVAL_MS, true, false);
    assertThat(ServerSelector.waitMs(prefillOnly), is(closeTo(30, 1e-9)));
    Candidate queuedAndPrefill =
        new Candidate(0, 0, 0, 2, 24, 3_000, SLOT_RELEASE_INTERVAL_MS, true, false);
    assertThat(
        ServerSelector.waitMs(queuedAndPrefill), is(closeTo(2 * SLOT_RELEASE_INTERVAL_MS, 1e-9)));
  }
}
