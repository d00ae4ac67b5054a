package willowdoor.front.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.front.Peers;
import willowdoor.front.discovery.WatchStateMachine.Effect;
import willowdoor.front.discovery.WatchStateMachine.Effect.Close;
import willowdoor.front.discovery.WatchStateMachine.Effect.Deliver;
import willowdoor.front.discovery.WatchStateMachine.Effect.Open;

/**
 * Checks the rows of the table "The list's clock" in docs/design.md, with a manually advanced
 * clock.
 */
class WatchStateMachineTest {

  /**
   * A change missed by a silent watch counts as delivered after this time; the data of a new
   * address counts as delivered this long after SIGHUP.
   */
  private static final double DELIVERED_MS = 6_000;

  private static final double DELIVERED_AFTER_SIGHUP_MS = 4_000;

  /** A drain must be obeyed within this time after it counts as delivered. */
  private static final double GRACE_MS = 1_000;

  private static final double CHECK_MS = 25;

  /** The random value that gives the longest delays. */
  private final WatchStateMachine watch = new WatchStateMachine(7, () -> 1.0);

  private final List<Effect> done = new ArrayList<>();
  private double now = 1e12;

  private void record(List<Effect> effects) {
    done.addAll(effects);
  }

  /** Runs checks until an effect of this kind is returned, and returns the elapsed time. */
  private double until(Class<? extends Effect> kind) {
    double from = now;
    done.clear();
    while (done.stream().noneMatch(kind::isInstance)) {
      assertTrue(now - from < 60_000, "nothing more is done");
      now += CHECK_MS;
      record(watch.check(now));
    }
    return now - from;
  }

  private void pass(double ms) {
    for (double end = now + ms; now < end; ) {
      now = Math.min(end, now + CHECK_MS);
      record(watch.check(now));
    }
  }

  private void body(String text) {
    record(watch.onBody(now, text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Brings the watch into the state after its first list. */
  private void openWatch() {
    record(watch.start(now));
    watch.onConnected(now);
    watch.onResponseHead(now);
    body(Peers.list(8, true) + "\n");
    done.clear();
  }

  /** Lets an attempt progress to the given stage, after which the agent is silent. */
  private void progressUntilSilent(String at) {
    if (!at.equals("connect")) {
      watch.onConnected(now);
    }
    if (at.equals("head") || at.equals("half")) {
      watch.onResponseHead(now);
    }
    if (at.equals("half")) {
      body("{\"version\":9,\n");
    }
  }

  @Test
  void watchEndsOnlyAfterSilenceExceedsTheTimeout() {
    openWatch();
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    body("\n");
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    assertEquals(List.of(), done);
    pass(1 + CHECK_MS);
    assertEquals(List.of(new Close(false)), done);
  }

  /**
   * The silent watch is reopened in time even if the next attempt falls silent too, at any stage.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void silentWatchIsReopenedInTimeIfOneAttemptIsSilentToo(String at) {
    openWatch();
    double taken = until(Open.class);
    progressUntilSilent(at);
    taken += until(Open.class);
    assertEquals(new Open(7), done.get(done.size() - 1));
    assertTrue(taken <= DELIVERED_MS - 800, at + ": " + taken);
  }

  /**
   * A response head with nothing after it counts as silence if an object is expected, so two
   * consecutive attempts may be silent.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void silentWatchIsReopenedInTimeIfTwoAttemptsAreSilentToo(String at) {
    openWatch();
    double taken = until(Open.class);
    progressUntilSilent(at);
    taken += until(Open.class);
    progressUntilSilent(at);
    taken += until(Open.class);
    assertTrue(taken < DELIVERED_MS, at + ": " + taken);
  }

  /**
   * An agent that sends no object for an old version violates the protocol, but must not cost a
   * connection each second: after several such attempts one attempt expects no object.
   */
  @Test
  void agentWithoutAnObjectForAnOldVersionIsStillWatched() {
    openWatch();
    until(Open.class);
    for (int i = 0; i < 3; i++) {
      assertEquals(new Open(7), done.get(done.size() - 1));
      progressUntilSilent("head");
      until(Open.class);
    }
    assertEquals(new Open(8), done.get(done.size() - 1));
    progressUntilSilent("head");
    pass(2_000);
    body("\n");
    done.clear();
    pass(2_000);
    assertEquals(List.of(), done);
  }

  /**
   * An agent that sends only response heads during an outage must not hide the end of the outage:
   * the attempt that expects no object is not repeated.
   */
  @Test
  void headsWithoutABodyDelayOnlyOneAttemptInAnOutage() {
    openWatch();
    until(Open.class);
    int slow = 0;
    for (int i = 0; i < 30; i++) {
      progressUntilSilent("head");
      slow += until(Open.class) > GRACE_MS - 300 ? 1 : 0;
    }
    assertEquals(1, slow);
  }

  /**
   * Even after slow attempts have raised the limit, no attempt may take longer than the time
   * allowed after SIGHUP.
   */
  @Test
  void slowObjectEndsTheAttemptWithinTheLimitAfterSighup() {
    openWatch();
    until(Open.class);
    for (int i = 0; i < 6; i++) {
      final double from = now;
      watch.onConnected(now);
      watch.onResponseHead(now);
      body("{");
      done.clear();
      for (int looks = 1; done.stream().noneMatch(Open.class::isInstance); looks++) {
        pass(CHECK_MS);
        if (done.isEmpty() && looks % 16 == 0) {
          body(" ");
        }
      }
      assertTrue(now - from < DELIVERED_AFTER_SIGHUP_MS, "" + (now - from));
    }
  }

  /** A list that takes longer than the first attempts allow is delivered in the end. */
  @Test
  void listThatAlwaysArrivesSlowlyIsDelivered() {
    openWatch();
    pass(2_000);
    record(watch.onClosed(now));
    int tries = 0;
    while (done.stream().noneMatch(Deliver.class::isInstance)) {
      until(Open.class);
      assertTrue(++tries <= 3, "it is cut for ever");
      watch.onConnected(now);
      watch.onResponseHead(now);
      done.clear();
      String list = Peers.list(9, true);
      for (int i = 0; i < list.length() && done.isEmpty(); i++) {
        body(list.substring(i, i + 1));
        pass(3_000.0 / list.length());
      }
    }
    assertEquals(3, tries);
  }

  /**
   * Discovery was restored to an older state or replaced: its list is accepted although its version
   * is lower.
   */
  @Test
  void listWithALowerVersionIsAcceptedAndWatchedFromThere() {
    openWatch();
    body(Peers.list(3, true) + "\n" + Peers.list(4, false) + "\n");
    assertEquals(2, done.size());
    record(watch.onClosed(now));
    until(Open.class);
    assertEquals(new Open(3), done.get(done.size() - 1));
  }

  @Test
  void incompleteLineThenSilenceIsCountedAndRequestedAgain() {
    openWatch();
    body("{\"version\":9,\"full\":false,\n");
    double taken = until(Open.class);
    assertEquals(List.of(new Close(true), new Open(7)), done);
    assertTrue(taken <= GRACE_MS, "" + taken);
  }

  @Test
  void slowObjectEndsTheAttemptInTime() {
    openWatch();
    body("{");
    double from = now;
    while (done.isEmpty()) {
      pass(400);
      body(done.isEmpty() ? " " : "");
    }
    assertTrue(done.contains(new Close(true)));
    assertTrue(now - from < DELIVERED_MS, "" + (now - from));
  }

  /** An indented list in the smallest pieces does not end the attempt. */
  @Test
  void indentedListInSmallPiecesIsDelivered() {
    openWatch();
    for (char c :
        "\n{\n  \"version\": 9,\n  \"full\": true,\n  \"servers\": [\n  ]\n}\n".toCharArray()) {
      pass(50);
      body(String.valueOf(c));
    }
    assertEquals(1, done.size());
    assertEquals(9, ((Deliver) done.get(0)).update().version());
  }

  /**
   * An outage may last longer than the time granted to a silent watch. Data that the agent has
   * after the outage counts as delivered at once, so attempts must be frequent during an outage.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request"})
  void attemptsInAnOutageAreFrequentEnoughToSeeItsEndInTime(String at) {
    openWatch();
    until(Open.class);
    for (int i = 0; i < 20; i++) {
      progressUntilSilent(at);
      double apart = until(Open.class);
      assertTrue(apart <= GRACE_MS - 300, "" + apart);
      assertTrue(apart >= 200, "" + apart);
    }
  }

  /**
   * Attempts that fail at once keep their interval, since all gateways may be refused at the same
   * time. A watch that was useful before is reopened without that delay.
   */
  @Test
  void attemptsThatFailAtOnceKeepTheirIntervalUnlessTheWatchWasUseful() {
    openWatch();
    pass(2_000);
    record(watch.onClosed(now));
    assertTrue(until(Open.class) <= 2 * WatchStateMachine.RECONNECT_DELAY_MS);
    for (int i = 0; i < 20; i++) {
      record(watch.onClosed(now));
      double apart = until(Open.class);
      assertTrue(apart >= 200 && apart <= GRACE_MS - 300, "" + apart);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"connect", "request"})
  void silenceAtStartupCountsAsAnOutageAfterOneAttemptAndASecond(String at) {
    record(watch.start(now));
    progressUntilSilent(at);
    pass(999);
    assertNull(watch.caughtUpReason());
    pass(1 + CHECK_MS);
    assertNotNull(watch.caughtUpReason());
    assertTrue(until(Open.class) <= GRACE_MS - 300);
  }

  /**
   * Nothing after the response head means no news, unless an object has started or this process was
   * paused.
   */
  @Test
  void caughtUpOnceNothingFollowsTheResponseHead() {
    record(watch.start(now));
    watch.onConnected(now);
    watch.onResponseHead(now);
    now += 500;
    record(watch.check(now));
    assertNull(watch.caughtUpReason());
    body("{\"version\":8,\"full\":false,");
    pass(WatchStateMachine.FIRST_UPDATE_WAIT_MS + 4 * CHECK_MS);
    assertNull(watch.caughtUpReason());
    body("\"servers\":[]}\n");
    assertEquals("discovery's first list was received", watch.caughtUpReason());

    WatchStateMachine other = new WatchStateMachine(7, () -> 0.0);
    other.start(0);
    other.onConnected(0);
    other.onResponseHead(0);
    other.check(WatchStateMachine.FIRST_UPDATE_WAIT_MS);
    other.check(WatchStateMachine.FIRST_UPDATE_WAIT_MS + CHECK_MS);
    assertEquals("discovery has nothing new", other.caughtUpReason());
  }

  /** The watch was silent for a while, and the next address is silent at first. */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void silenceAcrossASighupIsDetectedInTime(String at) {
    openWatch();
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    record(watch.onAddressChanged(now));
    assertEquals(List.of(new Close(false), new Open(7)), done);
    progressUntilSilent(at);
    assertTrue(until(Open.class) <= DELIVERED_AFTER_SIGHUP_MS - 1_000);
  }

  @Test
  void sighupBetweenTwoAttemptsOpensTheWatchAtOnce() {
    openWatch();
    record(watch.onClosed(now));
    done.clear();
    record(watch.onAddressChanged(now));
    assertEquals(List.of(new Open(7)), done);
  }

  /** Data that arrived during a pause is read between two checks. */
  @Test
  void pauseOfThisProcessIsNotTakenForSilence() {
    openWatch();
    now += 20_000;
    record(watch.check(now));
    body("\n");
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    assertEquals(List.of(), done);
  }

  @Test
  void malformedDataEndsTheAttemptAfterDeliveringValidObjects() {
    openWatch();
    body(Peers.list(9, false) + "\n{\"version\":10}\n");
    assertEquals(2, done.size());
    assertEquals(new Close(true), done.get(1));
    until(Open.class);
    assertEquals(new Open(8), done.get(0));
  }
}
