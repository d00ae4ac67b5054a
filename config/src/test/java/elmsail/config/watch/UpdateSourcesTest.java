package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class UpdateSourcesTest {
  private static final byte[] FIVE = {5};
  private static final byte[] SEVEN = {7};
  private final ManualTimers timers = new ManualTimers();
  private final UpdateSources sources = new UpdateSources(timers);

  private static PullRequest request(String station, long waitMs) {
    PullRequest request = new PullRequest();
    request.machine = station;
    request.role = "gateway";
    request.maxWaitMs = waitMs;
    return request;
  }

  /** An ask that has all there is. */
  private PullRequest upToDate(String station, long waitMs) {
    PullResponse all = sources.request(request(station, 0)).join();
    PullRequest request = request(station, waitMs);
    request.configVersion = all.configVersion;
    request.serverListEpoch = all.serverListEpoch;
    request.serverListVersion = all.serverListVersion;
    request.viewVersion = all.viewVersion;
    return request;
  }

  @Test
  void tellsAtOnceWhatIsNewer() {
    sources.setConfig(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now() - 300);
    CompletableFuture<PullResponse> answer = sources.request(request("c-1", 1_000));
    assertThat(answer.isDone(), equalTo(true));
    PullResponse response = answer.join();
    assertThat(response.configVersion, equalTo(5L));
    assertThat(response.config, equalTo(FIVE));
    assertThat(response.servers, equalTo(SEVEN));
    assertThat(response.serverListAgeMs, equalTo(300L));
    assertThat(response.view, notNullValue());
  }

  @Test
  void holdsUntilTheWaitIsOverAndTellsOnlyTheAge() {
    sources.setConfig(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullResponse> answer = sources.request(upToDate("c-1", 1_000));
    timers.advance(999);
    assertThat(answer.isDone(), equalTo(false));
    timers.advance(1);
    PullResponse response = answer.join();
    assertThat(response.config, nullValue());
    assertThat(response.servers, nullValue());
    assertThat(response.view, nullValue());
    assertThat(response.configVersion, equalTo(5L));
    assertThat(response.serverListAgeMs, equalTo(1_000L));
    assertThat(sources.held(), equalTo(0));
  }

  @Test
  void aChangeReleasesThoseItIsNewTo() {
    CompletableFuture<PullResponse> lacks = sources.request(upToDate("c-1", 1_000));
    PullRequest ahead = upToDate("c-2", 1_000);
    ahead.configVersion = 6;
    CompletableFuture<PullResponse> has = sources.request(ahead);
    timers.advance(400);
    sources.setConfig(5, FIVE);
    timers.advance(0);
    assertThat(lacks.join().config, equalTo(FIVE));
    assertThat(has.isDone(), equalTo(false));
    sources.setConfig(7, SEVEN);
    timers.advance(0);
    assertThat(has.join().config, equalTo(SEVEN));
    assertThat(timers.runNext(), equalTo(false));
  }

  @Test
  void changesOfOneMomentAreToldTogether() {
    CompletableFuture<PullResponse> answer = sources.request(upToDate("c-1", 1_000));
    sources.setConfig(5, FIVE);
    sources.setServers(1, 1, SEVEN, timers.now());
    timers.advance(0);
    assertThat(answer.join().config, equalTo(FIVE));
    assertThat(answer.join().servers, equalTo(SEVEN));
  }

  @Test
  void nothingOlderIsTakenOver() {
    sources.setConfig(7, SEVEN);
    sources.setConfig(5, FIVE);
    sources.setConfig(7, FIVE);
    sources.setServers(2, 1, SEVEN, timers.now());
    sources.setServers(1, 9, FIVE, timers.now());
    PullResponse response = sources.request(request("c-1", 0)).join();
    assertThat(response.config, equalTo(SEVEN));
    assertThat(response.servers, equalTo(SEVEN));
    assertThat(response.serverListEpoch, equalTo(2L));
  }

  @Test
  void theSameListAgainOnlyMakesItYounger() {
    sources.setServers(1, 1, SEVEN, timers.now());
    CompletableFuture<PullResponse> answer = sources.request(upToDate("c-1", 1_000));
    timers.advance(600);
    sources.setServers(1, 1, SEVEN, timers.now());
    timers.advance(0);
    assertThat(answer.isDone(), equalTo(false));
    timers.advance(400);
    assertThat(answer.join().serverListAgeMs, equalTo(400L));
  }

  @Test
  void anAskerAheadOfThisNotaryIsNotToldWhatIsOld() {
    sources.setConfig(5, FIVE);
    sources.setServers(1, 8, SEVEN, timers.now());
    PullRequest ahead = upToDate("c-1", 1_000);
    ahead.configVersion = 9;
    ahead.serverListEpoch = 2;
    ahead.serverListVersion = 1;
    CompletableFuture<PullResponse> answer = sources.request(ahead);
    assertThat(answer.isDone(), equalTo(false));
    timers.advance(1_000);
    assertThat(answer.join().config, nullValue());
    assertThat(answer.join().servers, nullValue());
  }

  @Test
  void rostersAreMadeForTheAskerAndToldWhenTheyChange() {
    sources.setView(
        request -> {
          ClusterView view = new ClusterView();
          view.joinSlot = request.machine.equals("v-2") ? 1 : -1;
          return view;
        });
    timers.advance(0);
    CompletableFuture<PullResponse> one = sources.request(upToDate("v-1", 1_000));
    CompletableFuture<PullResponse> two = sources.request(upToDate("v-2", 1_000));
    timers.advance(10);
    assertThat(one.isDone(), equalTo(false));
    sources.viewChanged();
    timers.advance(0);
    assertThat(one.join().view.joinSlot, equalTo(-1));
    assertThat(two.join().view.joinSlot, equalTo(1));
  }

  @Test
  void aRosterVersionOfAnotherLifeIsAnsweredWithTheRoster() {
    PullRequest other = upToDate("c-1", 1_000);
    other.viewVersion += 100_000;
    assertThat(sources.request(other).join().view, notNullValue());
    timers.advance(5);
    assertThat(
        new UpdateSources(timers).request(request("c-1", 0)).join().viewVersion,
        not(equalTo(sources.request(request("c-1", 0)).join().viewVersion)));
  }

  @Test
  void anAskersSecondAskEndsItsFirst() {
    CompletableFuture<PullResponse> first = sources.request(upToDate("c-1", 1_000));
    CompletableFuture<PullResponse> second = sources.request(upToDate("c-1", 1_000));
    assertThat(first.isDone(), equalTo(true));
    assertThat(second.isDone(), equalTo(false));
    assertThat(sources.held(), equalTo(1));
    timers.advance(1_000);
    assertThat(second.isDone(), equalTo(true));
  }

  @Test
  void noMoreThanTwoThousandAreHeld() {
    List<CompletableFuture<PullResponse>> answers = new ArrayList<>();
    for (int i = 0; i < 2_001; i++) {
      answers.add(sources.request(upToDate("c-" + i, 1_000)));
    }
    assertThat(sources.held(), equalTo(2_000));
    assertThat(answers.get(1_999).isDone(), equalTo(false));
    assertThat(answers.get(2_000).isDone(), equalTo(true));
  }

  @Test
  void aWaitIsNeverLongerThanTenSeconds() {
    CompletableFuture<PullResponse> answer = sources.request(upToDate("c-1", Long.MAX_VALUE));
    timers.advance(10_000);
    assertThat(answer.isDone(), equalTo(true));
  }

  @Test
  void remembersWhoWasHeardOfAndWhen() {
    List<Long> calls = new ArrayList<>();
    sources.whenHeard(() -> calls.add(timers.now()));
    PullRequest store = request("v-1", 0);
    store.role = "store";
    store.instanceId = 9;
    store.address = "10.0.0.1:7720";
    sources.request(store);
    timers.advance(500);
    sources.request(request("c-1", 0));
    timers.advance(500);
    sources.request(store);
    timers.advance(100);
    assertThat(calls, hasSize(2));
    assertThat(
        sources.heardWithin(100),
        contains(
            new PeerReport(
                "v-1",
                "10.0.0.1:7720",
                "",
                "store",
                9,
                false,
                false,
                store.jobStoreVoters,
                timers.now() - 100)));
    assertThat(sources.heardWithin(600), hasSize(2));
    store.instanceId = 10;
    sources.request(store);
    timers.advance(0);
    assertThat(calls, hasSize(3));
    assertThat(sources.heardWithin(0).get(0).instanceId(), equalTo(10L));
  }

  @Test
  void theOldestHeardOfGivesWay() {
    for (int i = 0; i < 4_005; i++) {
      sources.request(request("c-" + i, 0));
    }
    assertThat(sources.heardWithin(1), hasSize(4_000));
  }
}
