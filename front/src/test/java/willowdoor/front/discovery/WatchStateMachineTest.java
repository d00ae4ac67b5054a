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

/** The rows of the table "The list's clock" in docs/design.md, on a clock moved by hand. */
class WatchStateMachineTest {

  /**
   * What a silent watch misses counts as told after this, what the next address has after a SIGHUP.
   */
  private static final double TOLD_MS = 6_000;

  private static final double TOLD_AFTER_HANG_UP_MS = 4_000;

  /** A drain is kept within this of its being told. */
  private static final double GRACE_MS = 1_000;

  private static final double LOOK_MS = 25;

  /** The longest waits that chance can bring. */
  private final WatchStateMachine watch = new WatchStateMachine(7, () -> 1.0);

  private final List<Effect> done = new ArrayList<>();
  private double now = 1e12;

  private void does(List<Effect> effects) {
    done.addAll(effects);
  }

  /** Looks on until one of this kind is done, and gives the time that took. */
  private double until(Class<? extends Effect> kind) {
    double from = now;
    done.clear();
    while (done.stream().noneMatch(kind::isInstance)) {
      assertTrue(now - from < 60_000, "nothing more is done");
      now += LOOK_MS;
      does(watch.check(now));
    }
    return now - from;
  }

  private void pass(double ms) {
    for (double end = now + ms; now < end; ) {
      now = Math.min(end, now + LOOK_MS);
      does(watch.check(now));
    }
  }

  private void body(String text) {
    does(watch.onBody(now, text.getBytes(StandardCharsets.UTF_8)));
  }

  /** A watch that has brought its first list. */
  private void living() {
    does(watch.start(now));
    watch.onConnected(now);
    watch.onResponseHead(now);
    body(Peers.list(8, true) + "\n");
    done.clear();
  }

  /** How far a try comes before it falls silent. */
  private void goesSilent(String at) {
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
  void silenceJustUnderTheLimitIsNoneAndJustOverItEndsTheWatch() {
    living();
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    body("\n");
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    assertEquals(List.of(), done);
    pass(1 + LOOK_MS);
    assertEquals(List.of(new Close(false)), done);
  }

  /**
   * Open or cut by the far end, and though the next try falls silent as well, wherever that does.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void aSilentWatchIsOpenAgainInTimeThoughOneTryIsSilentToo(String at) {
    living();
    double taken = until(Open.class);
    goesSilent(at);
    taken += until(Open.class);
    assertEquals(new Open(7), done.get(done.size() - 1));
    assertTrue(taken <= TOLD_MS - 800, at + ": " + taken);
  }

  /**
   * A head with nothing behind it is silence where an object is owed; so two tries may be silent.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void aSilentWatchIsOpenAgainInTimeThoughTwoTriesAreSilentToo(String at) {
    living();
    double taken = until(Open.class);
    goesSilent(at);
    taken += until(Open.class);
    goesSilent(at);
    taken += until(Open.class);
    assertTrue(taken < TOLD_MS, at + ": " + taken);
  }

  /**
   * It breaks its word, but need not cost a connection each second: one try in a while owes
   * nothing.
   */
  @Test
  void anAgentThatHasNothingForAnOldVersionIsWatchedAllTheSame() {
    living();
    until(Open.class);
    for (int i = 0; i < 3; i++) {
      assertEquals(new Open(7), done.get(done.size() - 1));
      goesSilent("head");
      until(Open.class);
    }
    assertEquals(new Open(8), done.get(done.size() - 1));
    goesSilent("head");
    pass(2_000);
    body("\n");
    done.clear();
    pass(2_000);
    assertEquals(List.of(), done);
  }

  /**
   * Nor does an agent that answers with heads in an outage hide its end: that one try is not made
   * again.
   */
  @Test
  void headsWithoutABodyInAnOutageHoldUpOneTryOnly() {
    living();
    until(Open.class);
    int slow = 0;
    for (int i = 0; i < 30; i++) {
      goesSilent("head");
      slow += until(Open.class) > GRACE_MS - 300 ? 1 : 0;
    }
    assertEquals(1, slow);
  }

  /** However patient it has become: what comes after the last bad try is due soon enough. */
  @Test
  void noTryDripsForLongerThanAHangUpAllows() {
    living();
    until(Open.class);
    for (int i = 0; i < 6; i++) {
      final double from = now;
      watch.onConnected(now);
      watch.onResponseHead(now);
      body("{");
      done.clear();
      for (int looks = 1; done.stream().noneMatch(Open.class::isInstance); looks++) {
        pass(LOOK_MS);
        if (done.isEmpty() && looks % 16 == 0) {
          body(" ");
        }
      }
      assertTrue(now - from < TOLD_AFTER_HANG_UP_MS, "" + (now - from));
    }
  }

  /** A list that takes longer than the first tries are given comes through in the end. */
  @Test
  void aListThatAlwaysDripsComesThrough() {
    living();
    pass(2_000);
    does(watch.onClosed(now));
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
   * Discovery was put back to an older state, or another one took its place: its list is the list.
   */
  @Test
  void theListOfAnotherHistoryIsTakenAndGoneOnFrom() {
    living();
    body(Peers.list(3, true) + "\n" + Peers.list(4, false) + "\n");
    assertEquals(2, done.size());
    does(watch.onClosed(now));
    until(Open.class);
    assertEquals(new Open(3), done.get(done.size() - 1));
  }

  @Test
  void halfALineAndThenSilenceIsCountedAndAskedForAgain() {
    living();
    body("{\"version\":9,\"full\":false,\n");
    double taken = until(Open.class);
    assertEquals(List.of(new Close(true), new Open(7)), done);
    assertTrue(taken <= GRACE_MS, "" + taken);
  }

  @Test
  void anObjectThatDripsIsGivenUpInTime() {
    living();
    body("{");
    double from = now;
    while (done.isEmpty()) {
      pass(400);
      body(done.isEmpty() ? " " : "");
    }
    assertTrue(done.contains(new Close(true)));
    assertTrue(now - from < TOLD_MS, "" + (now - from));
  }

  /** Indented and in pieces as small as can be: no try ends over it. */
  @Test
  void aListThatComesIndentedAndCutAnywhereIsDelivered() {
    living();
    for (char c :
        "\n{\n  \"version\": 9,\n  \"full\": true,\n  \"servers\": [\n  ]\n}\n".toCharArray()) {
      pass(50);
      body(String.valueOf(c));
    }
    assertEquals(1, done.size());
    assertEquals(9, ((Deliver) done.get(0)).update().version());
  }

  /**
   * The outage is over longer than the watches are silent: what the agent is told then counts at
   * once.
   */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request"})
  void inAnOutageItAsksSoOftenThatItsEndIsSeenWithinTheGrace(String at) {
    living();
    until(Open.class);
    for (int i = 0; i < 20; i++) {
      goesSilent(at);
      double apart = until(Open.class);
      assertTrue(apart <= GRACE_MS - 300, "" + apart);
      assertTrue(apart >= 200, "" + apart);
    }
  }

  /**
   * Refused or answered with junk at once: all front doors may be, so tries keep their distance.
   */
  @Test
  void triesThatFailAtOnceKeepTheirDistanceAndBeingUsefulSavesIt() {
    living();
    pass(2_000);
    does(watch.onClosed(now));
    assertTrue(until(Open.class) <= 2 * WatchStateMachine.RECONNECT_DELAY_MS);
    for (int i = 0; i < 20; i++) {
      does(watch.onClosed(now));
      double apart = until(Open.class);
      assertTrue(apart >= 200 && apart <= GRACE_MS - 300, "" + apart);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"connect", "request"})
  void silenceAtTheStartIsTakenForAnOutageAfterAWholeTryAndASecond(String at) {
    does(watch.start(now));
    goesSilent(at);
    pass(999);
    assertNull(watch.caughtUpReason());
    pass(1 + LOOK_MS);
    assertNotNull(watch.caughtUpReason());
    assertTrue(until(Open.class) <= GRACE_MS - 300);
  }

  /**
   * Nothing behind the head is nothing new, unless an object has begun, or this process stood
   * still.
   */
  @Test
  void itIsCaughtUpOnceNothingFollowsTheHead() {
    does(watch.start(now));
    watch.onConnected(now);
    watch.onResponseHead(now);
    now += 500;
    does(watch.check(now));
    assertNull(watch.caughtUpReason());
    body("{\"version\":8,\"full\":false,");
    pass(WatchStateMachine.FIRST_UPDATE_WAIT_MS + 4 * LOOK_MS);
    assertNull(watch.caughtUpReason());
    body("\"servers\":[]}\n");
    assertEquals("discovery's first list was received", watch.caughtUpReason());

    WatchStateMachine other = new WatchStateMachine(7, () -> 0.0);
    other.start(0);
    other.onConnected(0);
    other.onResponseHead(0);
    other.check(WatchStateMachine.FIRST_UPDATE_WAIT_MS);
    other.check(WatchStateMachine.FIRST_UPDATE_WAIT_MS + LOOK_MS);
    assertEquals("discovery has nothing new", other.caughtUpReason());
  }

  /** A watch that has been silent for a while, and the next address silent at first. */
  @ParameterizedTest
  @ValueSource(strings = {"connect", "request", "head", "half"})
  void silenceAcrossAHangUpIsSeenInTime(String at) {
    living();
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    does(watch.onAddressChanged(now));
    assertEquals(List.of(new Close(false), new Open(7)), done);
    goesSilent(at);
    assertTrue(until(Open.class) <= TOLD_AFTER_HANG_UP_MS - 1_000);
  }

  @Test
  void aHangUpBetweenTwoTriesOpensAtOnce() {
    living();
    does(watch.onClosed(now));
    done.clear();
    does(watch.onAddressChanged(now));
    assertEquals(List.of(new Open(7)), done);
  }

  /** What came meanwhile is read between two looks. */
  @Test
  void aPauseOfThisProcessIsNotTheAgentsSilence() {
    living();
    now += 20_000;
    does(watch.check(now));
    body("\n");
    pass(WatchStateMachine.SILENCE_TIMEOUT_MS - 1);
    assertEquals(List.of(), done);
  }

  @Test
  void junkEndsTheTryBehindWhatCouldBeRead() {
    living();
    body(Peers.list(9, false) + "\n{\"version\":10}\n");
    assertEquals(2, done.size());
    assertEquals(new Close(true), done.get(1));
    until(Open.class);
    assertEquals(new Open(8), done.get(0));
  }
}
