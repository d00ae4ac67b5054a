package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.controlplane.SimulatedDutyPlatform.FailureMode;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The usage of each window must reach the platform in time and with one content, under failures of
 * holders, gateways, clocks, network and platform.
 */
class UsageDutyTest {
  private static final long START_MS = 8_000;

  /**
   * Allowed error of a tenant's count in a window, in addition to 5 %: requests close to a window's
   * bounds may count in the neighbouring window.
   */
  private static final long MAX_COUNT_ERROR = 3;

  private UsageFixture fixture;

  private void startFixture(long seed) {
    fixture = new UsageFixture(seed, 3, 6);
    fixture.start();
    fixture.cluster.timers.advance(START_MS);
  }

  private void run(long ms) {
    fixture.cluster.timers.advance(ms);
  }

  /**
   * Runs until the reports of all windows up to the current one are due, and checks that no
   * platform rule was violated.
   */
  private void runUntilReportsAreDueAndCheckRules() {
    run(UsageFixture.WINDOW_MS + UsageFixture.MAX_REPORT_DELAY_MS);
    assertThat(fixture.platform.violations, empty());
    assertThat(fixture.cluster.net.handlerFaults(), empty());
  }

  private void assertReportedInTime(long first, long last) {
    for (long window = first; window <= last; window++) {
      assertThat(
          "window " + window,
          fixture.reportDelayMs(window),
          lessThanOrEqualTo(UsageFixture.MAX_REPORT_DELAY_MS));
    }
  }

  private void assertCountsCorrect(long first, long last) {
    for (long window = first; window <= last; window++) {
      Map<String, Long> reported = fixture.platform.counts(window);
      for (Map.Entry<String, Long> each : fixture.startedRequests(window).entrySet()) {
        long count = reported.getOrDefault(each.getKey().replace("\"", "\\\""), -1L);
        if (!each.getKey().contains("\"")) {
          assertThat(
              "window " + window + " of " + each.getKey(),
              (double) Math.abs(count - each.getValue()),
              lessThanOrEqualTo(MAX_COUNT_ERROR + each.getValue() * 0.05));
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyWindowIsReportedCorrectlyWithoutFaults(long seed) {
    startFixture(seed);
    long first = fixture.currentWindow();
    run(60_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
    assertThat("about one call per window", fixture.platform.calls, lessThan(20));
  }

  @Test
  void windowsWithoutRequestsAreReportedToo() {
    fixture = new UsageFixture(1, 3, 2);
    fixture.hasTraffic = false;
    fixture.start();
    run(START_MS);
    long first = fixture.currentWindow();
    run(20_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertThat(fixture.platform.counts(first), is(Map.of()));
  }

  @Test
  void clusterOfOneVoterReportsToo() {
    fixture = new UsageFixture(1, 1, 2);
    fixture.start();
    run(START_MS);
    long first = fixture.currentWindow();
    run(20_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void windowsAreReportedInTimeWhenTheHolderIsKilled(long seed) {
    startFixture(seed);
    long first = fixture.currentWindow();
    for (int i = 0; i < 4; i++) {
      run(fixture.random.nextInt(10_000));
      fixture.cluster.awaitWithin(10_000, () -> fixture.currentHolder() != null);
      String holder = fixture.currentHolder();
      fixture.cluster.kill(holder);
      run(6_000);
      fixture.cluster.startControlPlane(holder, true);
      run(8_000);
    }
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  @ParameterizedTest
  @EnumSource(
      value = FailureMode.class,
      names = {"SILENT", "BUSY", "RESET"})
  void everyWindowIsReportedInTimeWhenThePlatformIsDownForFourSeconds(FailureMode failureMode) {
    startFixture(4);
    long first = fixture.currentWindow();
    for (int i = 0; i < 5; i++) {
      run(3_000 + fixture.random.nextInt(6_000));
      fixture.platform.failureMode = failureMode;
      run(4_000);
      fixture.platform.failureMode = FailureMode.NONE;
    }
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  @Test
  void slowPlatformWithLostRepliesReceivesIdenticalRepeats() {
    startFixture(5);
    long first = fixture.currentWindow();
    fixture.platform.minReplyMs = 250;
    fixture.platform.maxReplyMs = 1_000;
    fixture.platform.replyLossRate = 0.3;
    run(60_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void clockJumpsDoNotMoveWindows(long seed) {
    startFixture(seed);
    long first = fixture.currentWindow();
    fixture.cluster.clockSkewMs.put("n1", 7_000L);
    fixture.cluster.clockSkewMs.put("g1", -6_000L);
    fixture.cluster.clockSkewMs.put("g2", 4_000L);
    run(40_000);
    fixture.cluster.clockSkewMs.put("n1", 0L);
    fixture.cluster.clockSkewMs.put("g1", 0L);
    run(20_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  @Test
  void killedGatewayLosesNoMoreThanItsLastReportInterval() {
    startFixture(6);
    long first = fixture.currentWindow();
    run(7_000);
    fixture.cluster.kill("g1");
    run(3_000);
    fixture.startGateway("g1");
    run(10_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    long lost = 0;
    for (long window = first; window <= last; window++) {
      for (Map.Entry<String, Long> each : fixture.startedRequests(window).entrySet()) {
        if (!each.getKey().contains("\"")) {
          lost +=
              Math.max(
                  0,
                  each.getValue()
                      - fixture.platform.counts(window).getOrDefault(each.getKey(), 0L));
        }
      }
    }
    assertThat(lost, lessThanOrEqualTo(25L));
  }

  @Test
  void reportsContinueWithoutConflictAfterAFullClusterOutage() {
    startFixture(7);
    run(20_000);
    for (int i = 1; i <= fixture.nodes; i++) {
      fixture.cluster.kill("n" + i);
    }
    run(30_000);
    for (int i = 1; i <= fixture.nodes; i++) {
      fixture.cluster.startControlPlane("n" + i, false);
    }
    run(10_000);
    long first = fixture.currentWindow();
    run(20_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertCountsCorrect(first, last);
  }

  /** Runs until {@code ms} after the close of the current window; returns the window's number. */
  private long runPastWindowClose(long ms) {
    long window = fixture.currentWindow();
    long closesInMs = (window + 1) * UsageFixture.WINDOW_MS - fixture.cluster.trueTimeMs();
    run(closesInMs + ms);
    return window;
  }

  /**
   * The holder is partitioned from a gateway and lacks its counts. Then the holder is partitioned
   * from the other nodes and cannot commit the window's counts. The next holder has all counts and
   * decides the window.
   */
  @ParameterizedTest
  @ValueSource(longs = {1_400, 1_800, 2_200, 2_600, 2_900})
  void uncommittedCountsAreNotSent(long partitionAfterCloseMs) {
    startFixture(10);
    runPastWindowClose(1_000);
    String holder = fixture.currentHolder();
    fixture.cluster.net.cutBoth(fixture.cluster.address("g1"), fixture.cluster.address(holder));
    run(UsageFixture.WINDOW_MS);
    long window = runPastWindowClose(partitionAfterCloseMs);
    for (int i = 1; i <= fixture.nodes; i++) {
      if (!holder.equals("n" + i)) {
        fixture.cluster.net.cutBoth(
            fixture.cluster.address(holder), fixture.cluster.address("n" + i));
      }
    }
    run(8_000);
    fixture.cluster.net.healAll();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(window, window);
  }

  /** A gateway's counts that arrive after the decision do not change the window's content. */
  @Test
  void countsReceivedAfterTheDecisionAreNotSent() {
    startFixture(11);
    for (int i = 0; i < 4; i++) {
      runPastWindowClose(-500);
      fixture.cluster.net.freeze(fixture.cluster.address("g1"));
      runPastWindowClose(4_000);
      fixture.cluster.net.thaw(fixture.cluster.address("g1"));
      run(4_000);
    }
    runUntilReportsAreDueAndCheckRules();
  }

  /**
   * Random kills, freezes longer than the lease, partitions, lost replies and platform failures.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16})
  void noWindowHasConflictingContentsUnderRandomFaults(long seed) {
    runRandomFaults(seed);
  }

  void runRandomFaults(long seed) {
    startFixture(seed);
    int before = fixture.platform.windows().size();
    for (long end = fixture.cluster.timers.now() + 90_000; fixture.cluster.timers.now() < end; ) {
      run(500 + fixture.random.nextInt(4_000));
      injectFault();
    }
    fixture.cluster.net.healAll();
    fixture.platform.failureMode = FailureMode.NONE;
    fixture.platform.replyLossRate = 0;
    run(20_000);
    long first = fixture.currentWindow();
    run(15_000);
    long last = fixture.currentWindow();
    runUntilReportsAreDueAndCheckRules();
    assertReportedInTime(first, last);
    assertThat(fixture.platform.windows().size(), greaterThan(before + 5));
  }

  private void injectFault() {
    String name = fixture.currentHolder();
    if (name == null || fixture.random.nextInt(4) == 0) {
      name = "n" + (1 + fixture.random.nextInt(fixture.nodes));
    }
    String address = fixture.cluster.address(name);
    switch (fixture.random.nextInt(7)) {
      case 0 -> {
        fixture.cluster.kill(name);
        run(500 + fixture.random.nextInt(3_000));
        fixture.cluster.startControlPlane(name, false);
      }
      case 1 -> {
        fixture.cluster.net.freeze(address);
        run(200 + fixture.random.nextInt(6_000));
        fixture.cluster.net.thaw(address);
      }
      case 2 -> {
        fixture.cluster.net.isolate(address);
        run(500 + fixture.random.nextInt(5_000));
        fixture.cluster.net.healAll();
      }
      case 3 -> {
        fixture.platform.failureMode = FailureMode.values()[1 + fixture.random.nextInt(3)];
        run(1_000 + fixture.random.nextInt(4_000));
        fixture.platform.failureMode = FailureMode.NONE;
      }
      case 4, 5 -> {
        String gateway = fixture.cluster.address("g" + (1 + fixture.random.nextInt(6)));
        if (fixture.random.nextBoolean()) {
          fixture.cluster.net.freeze(gateway);
          run(500 + fixture.random.nextInt(6_000));
          fixture.cluster.net.thaw(gateway);
        } else {
          fixture.cluster.net.cutBoth(gateway, address);
        }
      }
      default -> fixture.platform.replyLossRate = fixture.random.nextInt(2) * 0.4;
    }
  }

  @Test
  void oneHolderReportsAtATime() {
    startFixture(9);
    run(10_000);
    assertThat(fixture.currentHolder(), is(notNullValue()));
    assertThat(fixture.platform.fencedCalls, is(0));
  }
}
