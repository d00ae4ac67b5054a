package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.controlplane.PlatformDutyClient.Outcome;
import elmsail.runtime.Counters;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.http.HttpClientRequest;
import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PlatformDutyClientTest {
  private static final byte[] BODY = "{\"window_no\":1}".getBytes(StandardCharsets.UTF_8);
  private static final double PLATFORM_RATE = 50;

  private final ManualTimers timers = new ManualTimers();
  private final FakeLease lease = new FakeLease();
  private final List<HttpClientRequest> sent = new ArrayList<>();
  private final DutyCounters counters = new DutyCounters(new Counters());
  private CompletableFuture<SimpleHttpResponse> reply = completedReply(200);

  private final PlatformDutyClient client =
      new PlatformDutyClient(
          (address, request, timeoutMs) -> {
            assertThat(address, is("10.9.0.1:8169"));
            sent.add(request);
            return reply;
          },
          SimulatedCluster.settingsWithDuties("n1", PLATFORM_RATE),
          timers,
          lease,
          counters);

  /** A lease whose term the test sets. */
  private static final class FakeLease implements DutyLease {
    private long term = 12;
    private final List<Long> fencedTerms = new ArrayList<>();

    @Override
    public long term() {
      return term;
    }

    @Override
    public void onFenced(long refusedTerm) {
      fencedTerms.add(refusedTerm);
      term = 0;
    }
  }

  private static CompletableFuture<SimpleHttpResponse> completedReply(int status) {
    return CompletableFuture.completedFuture(new SimpleHttpResponse(status, Map.of(), new byte[0]));
  }

  private Outcome call(long term) {
    return client.post("/usage", BODY, term).join();
  }

  @Test
  void callCarriesTheMachineAndTheTerm() {
    assertThat(call(12), is(Outcome.ACCEPTED));
    HttpClientRequest request = sent.get(0);
    assertThat(request.method(), is("POST"));
    assertThat(request.pathAndQuery(), is("/usage"));
    assertThat(request.headers().get("Elmsail-Duty-Holder"), is("n1"));
    assertThat(request.headers().get("Elmsail-Fence"), is("12"));
    assertThat(request.headers().get("Content-Type"), is("application/json"));
    assertThat(request.body(), is(BODY));
  }

  @Test
  void nothingIsSentWithoutTheLeaseOrInAnotherTerm() {
    assertThat(call(11), is(Outcome.NOT_HOLDER));
    lease.term = 0;
    assertThat(call(12), is(Outcome.NOT_HOLDER));
    assertThat(call(0), is(Outcome.NOT_HOLDER));
    assertThat(sent, empty());
  }

  @Test
  void refusedTermFencesTheLeaseAndIsNotUsedAgain() {
    reply = completedReply(409);
    assertThat(call(12), is(Outcome.FENCED));
    assertThat(lease.fencedTerms, contains(12L));
    assertThat(call(12), is(Outcome.NOT_HOLDER));
    assertThat(sent, hasSize(1));
  }

  @Test
  void otherErrorsTellWhetherThePlatformMayHaveAcceptedTheCall() {
    reply = completedReply(429);
    assertThat(call(12), is(Outcome.RATE_LIMITED));
    reply = completedReply(500);
    assertThat(call(12), is(Outcome.UNKNOWN));
    reply = CompletableFuture.failedFuture(new ElmsailException(ErrorCode.TIMEOUT, "test"));
    assertThat(call(12), is(Outcome.UNKNOWN));
    assertThat(counters.calls.value(), is(3L));
    assertThat(counters.callsRateLimited.value(), is(1L));
    assertThat(counters.callsUnknown.value(), is(2L));
    assertThat(lease.fencedTerms, empty());
  }

  @Test
  void callRateStaysBelowThePlatformsLimit() {
    for (int second = 0; second < 3; second++) {
      sent.clear();
      for (int i = 0; i < 1_000; i++) {
        Outcome outcome = call(12);
        assertThat(outcome == Outcome.ACCEPTED || outcome == Outcome.RATE_LIMITED, is(true));
        timers.advance(1);
      }
      assertThat((double) sent.size(), lessThanOrEqualTo(0.8 * PLATFORM_RATE));
    }
  }

  @Test
  void rateBelowOnePerSecondStillAllowsACall() {
    TokenBucket bucket = new TokenBucket(timers, 0.5);
    assertThat(bucket.tryTake(), is(true));
    assertThat(bucket.tryTake(), is(false));
    timers.advance(2_000);
    assertThat(bucket.tryTake(), is(true));
    assertThat(new TokenBucket(timers, 0).tryTake(), is(false));
  }
}
