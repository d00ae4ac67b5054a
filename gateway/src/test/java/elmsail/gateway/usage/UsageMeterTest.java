package elmsail.gateway.usage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import elmsail.config.watch.ClusterClock;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.UsageCount;
import elmsail.rpc.messages.UsageReport;
import elmsail.rpc.messages.UsageReportResponse;
import elmsail.rpc.messages.UsageWindow;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class UsageMeterTest {
  private static final long WINDOW_MS = 5_000;
  private static final long EPOCH_MS = 1_767_225_600_000L;
  private static final String N1 = "10.1.0.1:7721";
  private static final String N2 = "10.1.0.2:7721";
  private static final String N3 = "10.1.0.3:7721";

  private final ManualTimers timers = new ManualTimers();
  private final ClusterClock clock = new ClusterClock(timers);
  private final VoterSet voters = new VoterSet();
  private final List<String> calls = new ArrayList<>();
  private final Set<String> unreachable = new HashSet<>();
  private String leaseHolder = N1;
  private long processId = 1;

  private final RpcClient rpcClient =
      new RpcClient() {
        @Override
        public <A> CompletableFuture<A> call(
            String address, Object request, Class<A> responseType, long timeoutMs) {
          calls.add(address + " " + describe((UsageReport) request));
          CompletableFuture<A> response = new CompletableFuture<>();
          if (unreachable.contains(address)) {
            timers.schedule(
                timeoutMs,
                () ->
                    response.completeExceptionally(
                        new ElmsailException(ErrorCode.TIMEOUT, "test")));
          } else {
            UsageReportResponse answer = new UsageReportResponse();
            answer.holdsLease = address.equals(leaseHolder);
            answer.processId = processId;
            timers.schedule(5, () -> response.complete(responseType.cast(answer)));
          }
          return response;
        }
      };

  private final UsageMeter meter =
      new UsageMeter(rpcClient, timers, clock, () -> voters, 7, bounds());

  private static Settings.Bounds bounds() {
    return new Settings.Bounds(
        0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, WINDOW_MS, 2 * WINDOW_MS, 3_000);
  }

  private static String describe(UsageReport report) {
    StringBuilder text = new StringBuilder();
    for (UsageWindow window : report.windows) {
      for (UsageCount count : window.counts) {
        text.append(window.number - EPOCH_MS / WINDOW_MS)
            .append(':')
            .append(count.tenant)
            .append('=')
            .append(count.requests)
            .append(' ');
      }
    }
    return text.toString().trim();
  }

  private void startMeter() {
    for (String address : List.of(N1, N2, N3)) {
      Voter voter = new Voter();
      voter.address = address;
      voters.voters.add(voter);
    }
    clock.onSample("", EPOCH_MS + timers.now());
    clock.onSample("n1", EPOCH_MS + timers.now());
    meter.start();
    timers.advance(500);
  }

  private void startRequests(String tenant, int times) {
    for (int i = 0; i < times; i++) {
      meter.onRequestStarted(tenant);
    }
  }

  private List<String> callsOfNextSecond() {
    calls.clear();
    timers.advance(1_000);
    return calls;
  }

  @Test
  void reportsGoToAllVotersUntilTheLeaseHolderIsKnown() {
    startMeter();
    assertThat("nothing counted, nothing reported", calls, empty());
    startRequests("a", 2);
    assertThat(
        callsOfNextSecond(), containsInAnyOrder(N1 + " 0:a=2", N2 + " 0:a=2", N3 + " 0:a=2"));
    startRequests("a", 1);
    startRequests("b", 1);
    assertThat(
        "only changed counts, as totals", callsOfNextSecond(), contains(N1 + " 0:a=3 0:b=1"));
    assertThat(
        "an empty report is still sent, to find the lease holder",
        callsOfNextSecond(),
        contains(N1 + " "));
  }

  @Test
  void newLeaseHolderReceivesTheCountsItLacks() {
    startMeter();
    startRequests("a", 2);
    callsOfNextSecond();
    startRequests("a", 1);
    callsOfNextSecond();
    leaseHolder = N2;
    startRequests("a", 1);
    assertThat(
        "a former holder's response triggers reports to all voters immediately",
        callsOfNextSecond(),
        contains(N1 + " 0:a=4", N1 + " ", N2 + " 0:a=4", N3 + " 0:a=4"));
    assertThat(callsOfNextSecond(), contains(N2 + " "));
  }

  @Test
  void unresponsiveLeaseHolderDoesNotDelayReportsToItsSuccessor() {
    startMeter();
    startRequests("a", 2);
    callsOfNextSecond();
    unreachable.add(N1);
    leaseHolder = N3;
    callsOfNextSecond();
    startRequests("a", 1);
    timers.advance(10);
    callsOfNextSecond();
    assertThat(calls.contains(N3 + " 0:a=3") || calls.contains(N3 + " "), is(true));
    assertThat(callsOfNextSecond(), contains(N3 + " "));
  }

  @Test
  void restartedNodeReceivesAllCountsAgain() {
    startMeter();
    startRequests("a", 2);
    callsOfNextSecond();
    processId = 2;
    startRequests("b", 1);
    assertThat(callsOfNextSecond(), contains(N1 + " 0:b=1"));
    assertThat(
        "all counts that the restarted node lacks", callsOfNextSecond(), contains(N1 + " 0:a=2"));
  }

  @Test
  void countsOfOldWindowsAreDropped() {
    startMeter();
    for (int i = 0; i < 200; i++) {
      startRequests("a", 1);
      for (String call : callsOfNextSecond()) {
        assertThat(call.split(" ").length, lessThanOrEqualTo(3));
      }
    }
    timers.advance(60_000);
    assertThat("nothing is reported without counts", callsOfNextSecond(), empty());
  }

  @Test
  void requestIsCountedInTheWindowOfTheClusterClock() {
    startMeter();
    startRequests("a", 1);
    timers.advance(WINDOW_MS);
    startRequests("a", 1);
    callsOfNextSecond();
    assertThat(calls, contains(N1 + " 1:a=1"));
  }
}
