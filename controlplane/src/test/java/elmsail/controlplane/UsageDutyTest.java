package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import elmsail.controlplane.SimulatedDutyPlatform.Trouble;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each window's usage reaches the platform once, in time, whoever fails meanwhile. */
class UsageDutyTest {
  private static final long START_MS = 8_000;

  /** Of a window's count of a tenant: a request on either side of a bound, beside 5 %. */
  private static final long MAX_COUNT_ERROR = 3;

  private UsageRig rig;

  private void begin(long seed) {
    rig = new UsageRig(seed, 3, 6);
    rig.start();
    rig.cluster.timers.advance(START_MS);
  }

  private void run(long ms) {
    rig.cluster.timers.advance(ms);
  }

  /** Runs until all windows up to the present one are due, and checks the platform's rules. */
  private void settle() {
    run(UsageRig.WINDOW_MS + UsageRig.LATE_MS);
    assertThat(rig.platform.violations, empty());
    assertThat(rig.cluster.net.handlerFaults(), empty());
  }

  private void assertReportedInTime(long first, long last) {
    for (long window = first; window <= last; window++) {
      assertThat("window " + window, rig.lateMs(window), lessThanOrEqualTo(UsageRig.LATE_MS));
    }
  }

  private void assertCountsRight(long first, long last) {
    for (long window = first; window <= last; window++) {
      Map<String, Long> reported = rig.platform.counts(window);
      for (Map.Entry<String, Long> each : rig.started(window).entrySet()) {
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
  void everyWindowIsReportedRightInCalm(long seed) {
    begin(seed);
    long first = rig.windowNow();
    run(60_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
    assertThat("one call a window", rig.platform.calls, lessThan(20));
  }

  @Test
  void windowsWithoutRequestsAreReportedToo() {
    rig = new UsageRig(1, 3, 2);
    rig.hasTraffic = false;
    rig.start();
    run(START_MS);
    long first = rig.windowNow();
    run(20_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertThat(rig.platform.counts(first), is(Map.of()));
  }

  @Test
  void clusterOfOneVoterReportsToo() {
    rig = new UsageRig(1, 1, 2);
    rig.start();
    run(START_MS);
    long first = rig.windowNow();
    run(20_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void windowsAreReportedInTimeWhenTheHolderIsKilled(long seed) {
    begin(seed);
    long first = rig.windowNow();
    for (int i = 0; i < 4; i++) {
      run(rig.random.nextInt(10_000));
      rig.cluster.awaitWithin(10_000, () -> rig.holder() != null);
      String holder = rig.holder();
      rig.cluster.kill(holder);
      run(6_000);
      rig.cluster.controlPlane(holder, true);
      run(8_000);
    }
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  @ParameterizedTest
  @EnumSource(
      value = Trouble.class,
      names = {"SILENT", "BUSY", "RESET"})
  void platformThatIsDownForFourSecondsGetsEveryWindowInTime(Trouble trouble) {
    begin(4);
    long first = rig.windowNow();
    for (int i = 0; i < 5; i++) {
      run(3_000 + rig.random.nextInt(6_000));
      rig.platform.trouble = trouble;
      run(4_000);
      rig.platform.trouble = Trouble.NONE;
    }
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  @Test
  void slowPlatformThatLosesAnswersGetsExactRepeatsOnly() {
    begin(5);
    long first = rig.windowNow();
    rig.platform.minAnswerMs = 250;
    rig.platform.maxAnswerMs = 1_000;
    rig.platform.lostAnswers = 0.3;
    run(60_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void clocksThatJumpMoveNoWindow(long seed) {
    begin(seed);
    long first = rig.windowNow();
    rig.cluster.clockSkewMs.put("n1", 7_000L);
    rig.cluster.clockSkewMs.put("g1", -6_000L);
    rig.cluster.clockSkewMs.put("g2", 4_000L);
    run(40_000);
    rig.cluster.clockSkewMs.put("n1", 0L);
    rig.cluster.clockSkewMs.put("g1", 0L);
    run(20_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  @Test
  void killedGatewayLosesNoMoreThanItsLastReportInterval() {
    begin(6);
    long first = rig.windowNow();
    run(7_000);
    rig.cluster.kill("g1");
    run(3_000);
    rig.startGateway("g1");
    run(10_000);
    long last = rig.windowNow();
    settle();
    long lost = 0;
    for (long window = first; window <= last; window++) {
      for (Map.Entry<String, Long> each : rig.started(window).entrySet()) {
        if (!each.getKey().contains("\"")) {
          lost +=
              Math.max(
                  0, each.getValue() - rig.platform.counts(window).getOrDefault(each.getKey(), 0L));
        }
      }
    }
    assertThat(lost, lessThanOrEqualTo(25L));
  }

  @Test
  void wholeClusterThatWasOffGoesOnWithoutASecondContent() {
    begin(7);
    run(20_000);
    for (int i = 1; i <= rig.nodes; i++) {
      rig.cluster.kill("n" + i);
    }
    run(30_000);
    for (int i = 1; i <= rig.nodes; i++) {
      rig.cluster.controlPlane("n" + i, false);
    }
    run(10_000);
    long first = rig.windowNow();
    run(20_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertCountsRight(first, last);
  }

  /** Runs until so many ms after the close of a window, and returns its number. */
  private long runUntilAfterAClose(long ms) {
    long window = rig.windowNow();
    long closesInMs = (window + 1) * UsageRig.WINDOW_MS - rig.cluster.trueTimeMs();
    run(closesInMs + ms);
    return window;
  }

  /**
   * The holder lacks the counts of a gateway that it cannot hear, and then cannot commit what it
   * decides: the next holder decides, and has them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1_400, 1_800, 2_200, 2_600, 2_900})
  void countsThatAreNotCommittedAreNotSent(long cutAfterCloseMs) {
    begin(10);
    runUntilAfterAClose(1_000);
    String holder = rig.holder();
    rig.cluster.net.cutBoth(rig.cluster.address("g1"), rig.cluster.address(holder));
    run(UsageRig.WINDOW_MS);
    long window = runUntilAfterAClose(cutAfterCloseMs);
    for (int i = 1; i <= rig.nodes; i++) {
      if (!holder.equals("n" + i)) {
        rig.cluster.net.cutBoth(rig.cluster.address(holder), rig.cluster.address("n" + i));
      }
    }
    run(8_000);
    rig.cluster.net.healAll();
    settle();
    assertReportedInTime(window, window);
  }

  /** A gateway's counts that come after the decision change nothing. */
  @Test
  void countsThatComeAfterTheDecisionAreNotSent() {
    begin(11);
    for (int i = 0; i < 4; i++) {
      runUntilAfterAClose(-500);
      rig.cluster.net.freeze(rig.cluster.address("g1"));
      runUntilAfterAClose(4_000);
      rig.cluster.net.thaw(rig.cluster.address("g1"));
      run(4_000);
    }
    settle();
  }

  /** Kills, freezes across the lease, cuts, lost answers and a platform in trouble, at random. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16})
  void noWindowHasTwoContentsUnderRandomFaults(long seed) {
    runRandomFaults(seed);
  }

  void runRandomFaults(long seed) {
    begin(seed);
    int before = rig.platform.windows().size();
    for (long end = rig.cluster.timers.now() + 90_000; rig.cluster.timers.now() < end; ) {
      run(500 + rig.random.nextInt(4_000));
      injectFault();
    }
    rig.cluster.net.healAll();
    rig.platform.trouble = Trouble.NONE;
    rig.platform.lostAnswers = 0;
    run(20_000);
    long first = rig.windowNow();
    run(15_000);
    long last = rig.windowNow();
    settle();
    assertReportedInTime(first, last);
    assertThat(rig.platform.windows().size(), greaterThan(before + 5));
  }

  private void injectFault() {
    String name = rig.holder();
    if (name == null || rig.random.nextInt(4) == 0) {
      name = "n" + (1 + rig.random.nextInt(rig.nodes));
    }
    String address = rig.cluster.address(name);
    switch (rig.random.nextInt(7)) {
      case 0 -> {
        rig.cluster.kill(name);
        run(500 + rig.random.nextInt(3_000));
        rig.cluster.controlPlane(name, false);
      }
      case 1 -> {
        rig.cluster.net.freeze(address);
        run(200 + rig.random.nextInt(6_000));
        rig.cluster.net.thaw(address);
      }
      case 2 -> {
        rig.cluster.net.isolate(address);
        run(500 + rig.random.nextInt(5_000));
        rig.cluster.net.healAll();
      }
      case 3 -> {
        rig.platform.trouble = Trouble.values()[1 + rig.random.nextInt(3)];
        run(1_000 + rig.random.nextInt(4_000));
        rig.platform.trouble = Trouble.NONE;
      }
      case 4, 5 -> {
        String gateway = rig.cluster.address("g" + (1 + rig.random.nextInt(6)));
        if (rig.random.nextBoolean()) {
          rig.cluster.net.freeze(gateway);
          run(500 + rig.random.nextInt(6_000));
          rig.cluster.net.thaw(gateway);
        } else {
          rig.cluster.net.cutBoth(gateway, address);
        }
      }
      default -> rig.platform.lostAnswers = rig.random.nextInt(2) * 0.4;
    }
  }

  @Test
  void oneHolderReportsAtATime() {
    begin(9);
    run(10_000);
    assertThat(rig.holder(), is(notNullValue()));
    assertThat(rig.platform.refusals, is(0));
  }
}
