package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendExclusion;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.ClientDisconnected;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.StreamStarted;
import willowdoor.policy.GatewayApi.TimerFired;
import willowdoor.policy.GatewayApi.WatchBackendList;

class QuotaPolicyTest {

  // Normal case

  @Test
  void estimateIsAddedBeforeTheRequestIsSent() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    assertEquals(3, f.lastAction(AddToCounter.class).amount());
    assertFalse(f.emitted(Send.class));
    f.counterReturns(3);
    assertTrue(f.emitted(Send.class));
  }

  @Test
  void requestOverQuotaIsRefusedAndItsUnitsSubtractedLater() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    f.counterReturns(200);
    assertTrue(f.emitted(Refuse.class));
    f.advanceClock(500).request("safe", "basic", 1);
    assertEquals(
        -3,
        f.lastAction(AddToCounter.class).amount(),
        "reads the total and subtracts the 3 refused units");
  }

  @Test
  void actualUnitsAreSettledWithTheNextAdd() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 2);
    Send s = f.counterReturns(2).lastAction(Send.class);
    f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    f.request("safe", "basic", 1);
    assertEquals(1 + 2, f.lastAction(AddToCounter.class).amount());
  }

  @Test
  void exhaustedCustomerIsRefusedWithoutACounterCall() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    f.counterReturns(200);
    f.advanceClock(10).request("safe", "basic", 3);
    assertTrue(f.emitted(Refuse.class));
    assertFalse(f.emitted(AddToCounter.class));
  }

  @Test
  void windowChangeGrantsNoSecondBurst() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    String first = null;
    int sent = 0;
    for (double total = 2; f.allActions.size() < 4000; total += 2) {
      f.advanceClock(50).request("safe", "basic", 2);
      if (!f.emitted(AddToCounter.class)) {
        continue;
      }
      String name = f.lastAdd().name();
      if (first != null && !name.equals(first)) {
        f.counterReturns(f.lastAdd().amount());
        assertTrue(f.emitted(Refuse.class), "a new window is not a new burst");
        return;
      }
      first = name;
      f.counterReturns(total);
      sent += f.emitted(Send.class) ? 1 : 0;
      if (f.emitted(Send.class)) {
        Send s = f.lastAction(Send.class);
        f.outcome(s, 0, Status.OK, true);
      }
    }
    throw new AssertionError("no window edge met, sent " + sent);
  }

  @Test
  void plansWithoutRateNeedNoCall() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "unlimited", 3);
    assertTrue(f.emitted(Send.class));
    assertFalse(f.emitted(AddToCounter.class));
  }

  @Test
  void openLimitIsSplitAmongTheGateways() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "open-limit", 1);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "open-limit", 1);
    assertTrue(f.emitted(Refuse.class));
  }

  /** A gateway that gets all requests of a customer may use the whole open limit. */
  @Test
  void openLimitFollowsTheCustomersUse() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    Map<String, Double> totals = new HashMap<>();
    for (int i = 0; i < 60; i++) {
      f.advanceClock(100).on(new TimerFired("tick"));
      String id = f.request("safe", "rate-and-open-limit", 1);
      Send s =
          f.counterReturns(totals.merge(f.lastAdd().name(), f.lastAdd().amount(), Double::sum))
              .lastAction(Send.class);
      assertEquals(id, s.request());
      if (i < 57) {
        f.outcome(s, 0, Status.OK, true);
      }
    }
  }

  /** A gateway may exceed its part if the shared count shows that the others are idle. */
  @Test
  void openLimitUnusedByOtherGatewaysMayBeUsedHere() {
    PolicyHarness idle = new PolicyHarness(PolicyHarness.settings(true, 14, false)).backends(60);
    PolicyHarness busy = new PolicyHarness(PolicyHarness.settings(true, 14, false)).backends(60);
    assertEquals(
        2,
        countSentOfThree(idle, 1),
        "more than its part of 4 for 14 gateways, with a margin for random variation");
    assertEquals(1, countSentOfThree(busy, 5), "the other gateways use the limit");
  }

  /** Counts the sends of three requests while other gateways add to the same count. */
  private static int countSentOfThree(PolicyHarness f, double totalPerAdd) {
    int sent = 0;
    double total = 0;
    for (int i = 0; i < 3; i++) {
      f.advanceClock(10)
          .on(new Request("r" + i, "safe", "rate-and-open-limit", 42, 14, 1, f.now + 4000));
      if (f.emitted(AddToCounter.class)) {
        total += totalPerAdd;
        f.counterReturns(total);
      }
      sent += f.emitted(Send.class) ? 1 : 0;
    }
    return sent;
  }

  @Test
  void withoutACounterTheQuotaIsSplitEvenly() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(false, 2, false)).backends(4);
    f.request("safe", "basic", 4);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "basic", 4);
    assertTrue(f.emitted(Refuse.class), "half of a burst of 10 holds one request of 4");
  }

  @Test
  void unknownPlanAndClassAreAnsweredOnce() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.on(new Request("x", "no such class", "no such plan", 9, 2, 1, f.now + 4000));
    Send s = f.counterReturns(1).lastAction(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    assertTrue(f.emitted(Fail.class), "an unknown class may not run twice");
  }

  // Counter failures

  @Test
  void unansweredCounterCallIsDecidedByTheReplica() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    f.counterCallFails(Status.TIMED_OUT);
    assertTrue(f.emitted(Send.class));
  }

  @Test
  void unresponsiveCounterDelaysARequestOnlyUpToItsBound() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    f.runTimer(100);
    assertTrue(f.emitted(Send.class));
  }

  /** An unreadable answer shows that the counter responds, so all requests still call it. */
  @Test
  void unreadableCounterAnswersDoNotReduceTheCalls() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    for (int i = 0; i < 200; i++) {
      f.advanceClock(60).on(new Request("q" + i, "safe", "basic", 1000 + i, 2, 1, f.now + 4000));
      assertTrue(f.emitted(AddToCounter.class), "request " + i);
      if (i % 3 == 0) {
        f.counterCallFails(Status.RESET);
      } else {
        f.counterReturns(1);
      }
      f.outcome(f.lastAction(Send.class), 0, Status.OK, true).on(new TimerFired("tick"));
    }
  }

  @Test
  void unreachableCounterIsProbedRarelyAndUsedAgainOnRecovery() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    int calls = 0;
    for (int i = 0; i < 200; i++) {
      f.advanceClock(20).on(new Request("q" + i, "safe", "basic", 1000 + i, 2, 1, f.now + 4000));
      if (f.emitted(AddToCounter.class)) {
        calls++;
        f.counterCallFails(Status.UNREACHABLE);
      }
    }
    assertTrue(calls < 40, "calls while the counter is down: " + calls);
    int answered = 0;
    for (int i = 0; i < 200; i++) {
      f.advanceClock(20).on(new Request("p" + i, "safe", "basic", 5000 + i, 2, 1, f.now + 4000));
      if (f.emitted(AddToCounter.class)) {
        answered++;
        f.counterReturns(1);
      }
    }
    assertTrue(answered > 100, "calls after the recovery: " + answered);
  }

  @Test
  void failedCallThatAddedNothingLeavesUnitsForTheNextAdd() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 3);
    f.counterCallFails(Status.REJECTED);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "basic", 1);
    assertEquals(4, f.lastAction(AddToCounter.class).amount());
  }

  @Test
  void nextTotalShowsWhetherAnUnansweredCallWasAdded() {
    PolicyHarness added = PolicyHarness.withSharedCounter();
    added.request("safe", "basic", 1);
    added.counterReturns(1);
    added.request("safe", "basic", 3);
    added.counterCallFails(Status.TIMED_OUT);
    added.request("safe", "basic", 1);
    added.counterReturns(5);
    added.request("safe", "basic", 1);
    assertEquals(1, added.lastAction(AddToCounter.class).amount());

    PolicyHarness lost = PolicyHarness.withSharedCounter();
    lost.request("safe", "basic", 1);
    lost.counterReturns(1);
    lost.request("safe", "basic", 3);
    lost.counterCallFails(Status.TIMED_OUT);
    lost.request("safe", "basic", 1);
    lost.counterReturns(2);
    lost.request("safe", "basic", 1);
    assertEquals(1 + 3, lost.lastAction(AddToCounter.class).amount());
  }

  @Test
  void lostCountsGrantNoFreshQuota() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 1);
    f.counterReturns(200);
    f.advanceClock(500).request("safe", "basic", 1);
    f.counterReturns(f.lastAdd().amount());
    assertTrue(f.emitted(Refuse.class));
  }

  @Test
  void disconnectedRequestIsNotSentAfterTheCounterAnswers() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    String id = f.request("safe", "basic", 1);
    f.on(new ClientDisconnected(id));
    f.counterReturns(1);
    assertFalse(f.emitted(Send.class));
    f.request("safe", "basic", 2);
    assertEquals(2 - 1, f.lastAction(AddToCounter.class).amount(), "and its units are returned");
  }

  // Attempts

  @Test
  void unsafeRequestThatMayHaveRunFails() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("unsafe", "unlimited", 1);
    Send s = f.lastAction(Send.class);
    f.outcome(s, 0, Status.RESET, false);
    assertTrue(f.emitted(Fail.class));
    assertFalse(f.emitted(Send.class));
  }

  @Test
  void unsafeRequestThatNeverRanIsRetriedOnAnotherBackend() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("unsafe", "unlimited", 1);
    Send s = f.lastAction(Send.class);
    f.outcome(s, 0, Status.UNREACHABLE, false);
    assertNotEquals(s.backend(), f.lastAction(Send.class).backend());
  }

  @Test
  void keyedRequestThatMayHaveRunStaysInItsScopeAndWindow() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("cell", "unlimited", 1);
    Send s = f.lastAction(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    if (f.emitted(Send.class)) {
      assertEquals(
          s.backend(), f.lastAction(Send.class).backend(), "the cell has only this backend");
    }
    f.request("zone", "unlimited", 1);
    Send z = f.lastAction(Send.class);
    f.outcome(z, 0, Status.ERROR, false);
    assertEquals(z.backend() % 2, f.lastAction(Send.class).backend() % 2);
    Send again = f.lastAction(Send.class);
    f.advanceClock(3500).outcome(again, 1, Status.ERROR, false);
    assertFalse(f.emitted(Send.class), "repeats are no longer deduplicated");
    assertTrue(f.emitted(Fail.class), "a refusal would state that a retry is safe");
  }

  @Test
  void everyRequestIsAnsweredBeforeItsDeadline() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 2, false));
    f.request("safe", "unlimited", 1);
    assertFalse(f.emitted(Send.class), "there is no backend");
    f.runTimer(1000);
    assertTrue(f.emitted(Refuse.class));
    f.on(new Request("short", "safe", "unlimited", 1, 2, 1, f.now + 5));
    assertTrue(f.emitted(Refuse.class), "no time is left for another check");
  }

  @Test
  void attemptTimeoutIsBeforeTheDeadline() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "unlimited", 1);
    assertTrue(f.lastAction(Send.class).timeoutMs() < 4000);
  }

  @Test
  void startedStreamIsNotInterrupted() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    String id = f.request("stream", "unlimited", 1);
    f.on(new StreamStarted(id, 0)).runTimer(6000);
    assertTrue(f.lastActions.isEmpty(), f.lastActions.toString());
  }

  @Test
  void unresponsiveBackendIsCancelledAndRetriedElsewhere() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "unlimited", 1);
    Send s = f.lastAction(Send.class);
    f.runTimer(700);
    assertEquals(new Cancel(s.request(), 0), f.lastAction(Cancel.class));
    f.outcome(s, 0, Status.CANCELLED, false);
    assertNotEquals(s.backend(), f.lastAction(Send.class).backend());
  }

  @Test
  void eventsForUnknownRequestsAreIgnored() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.on(new Outcome("nobody", 0, 1, Status.OK, 5, true, 0, null));
    f.on(new CounterResult("nothing", Status.OK, 5, 1));
    f.on(new ClientDisconnected("nobody"));
    f.on(new TimerFired("unknown"));
    assertTrue(f.lastActions.isEmpty());
  }

  // Backends

  @Test
  void drainingAndRemovedBackendsGetNoRequests() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.on(
        new BackendList(
            BackendListKind.CHANGES,
            List.of(
                new BackendEntry(0, "a", 0, Phase.DRAINING, 1, 0),
                new BackendEntry(1, "b", 1, Phase.REMOVED, 1, 0))));
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      met.add(s.backend());
      f.outcome(s, 0, Status.OK, true);
    }
    assertEquals(Set.of(2L, 3L), met);
  }

  /** An exclusion by operators precedes the backend list, also for retries, until it ends. */
  @Test
  void excludedBackendGetsNoRequestsWhateverTheListSays() {
    PolicyHarness f = PolicyHarness.withSharedCounter().backends(2);
    f.on(new BackendExclusion(0, true)).on(new BackendExclusion(0, true));
    assertTrue(f.policy.isKnown(0));
    assertFalse(f.policy.isKnown(7));
    for (BackendListKind form : BackendListKind.values()) {
      f.on(
          new BackendList(
              form,
              List.of(
                  new BackendEntry(0, "a", 0, Phase.SERVING, 1, f.now),
                  new BackendEntry(1, "b", 1, Phase.SERVING, 1, 0))));
      f.request("safe", "unlimited", 1);
      assertEquals(1, f.lastAction(Send.class).backend());
      f.outcome(f.lastAction(Send.class), 0, Status.ERROR, false);
      assertTrue(f.allActions.stream().allMatch(a -> !(a instanceof Send s) || s.backend() == 1));
      f.runTimer(4000);
    }
    f.on(
        new BackendList(
            BackendListKind.COMPLETE, List.of(new BackendEntry(1, "b", 1, Phase.SERVING, 1, 0))));
    assertTrue(f.policy.isKnown(0), "a backend that left the list can still be readmitted");
    f.on(new BackendExclusion(0, false));
    assertFalse(f.policy.isKnown(0));
  }

  /** One event ends an exclusion, even a repeated one, and earlier failures are forgotten. */
  @Test
  void readmittedBackendWarmsUpAgain() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    countSendsToFailingBackend(f, 100);
    f.on(new BackendExclusion(0, true))
        .advanceClock(100)
        .on(new BackendExclusion(0, true))
        .advanceClock(100)
        .on(new BackendExclusion(0, false));
    int again = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      if (f.emitted(Send.class)) {
        Send s = f.lastAction(Send.class);
        again += s.backend() == 0 ? 1 : 0;
        all++;
        f.outcome(s, 0, Status.OK, true);
      }
    }
    assertTrue(again > 0, "the backend is used within 5 s");
    assertTrue(again < all / 8, "no more than a cold backend: " + again + " of " + all);
  }

  @Test
  void warmingBackendGetsFewRequests() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.on(
        new BackendList(
            BackendListKind.CHANGES,
            List.of(new BackendEntry(0, "a", 0, Phase.SERVING, 1, f.now))));
    int cold = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      if (f.emitted(Send.class)) {
        Send s = f.lastAction(Send.class);
        cold += s.backend() == 0 ? 1 : 0;
        all++;
        f.outcome(s, 0, Status.OK, true);
      }
    }
    assertTrue(cold > 0, "the cold backend gets requests");
    assertTrue(cold < all / 8, "under half of a warm backend's quarter: " + cold + " of " + all);
  }

  /** A backend that responds after a failed connect is not limited like a cold one. */
  @Test
  void singleFailedConnectDoesNotRestartTheWarmUp() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 2, false)).backends(1);
    for (int i = 0; i < 40; i++) {
      f.advanceClock(20).request("unsafe", "unlimited", 1);
      assertTrue(f.emitted(Send.class), "request " + i);
      Status status = i % 10 == 9 ? Status.UNREACHABLE : Status.OK;
      f.outcome(f.lastAction(Send.class), 0, status, true).on(new TimerFired("tick"));
    }
  }

  @Test
  void failingBackendIsBackedOffAndProbedAgain() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    int early = countSendsToFailingBackend(f, 100);
    assertTrue(early < 20, "sends to the failing backend: " + early);
    for (int i = 0, met = 0; met == 0; i++) {
      assertTrue(i < 2000, "the backend is never probed");
      f.runTimer(25).request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      met += s.backend() == 0 ? 1 : 0;
      f.outcome(s, 0, Status.OK, true);
    }
  }

  private static int countSendsToFailingBackend(PolicyHarness f, int requests) {
    int failing = 0;
    for (int i = 0; i < requests; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      int attempt = 0;
      while (s.backend() == 0) {
        failing++;
        f.outcome(s, attempt++, Status.ERROR, false);
        if (!f.emitted(Send.class)) {
          break;
        }
        s = f.lastAction(Send.class);
      }
      f.outcome(s, attempt, Status.OK, true);
    }
    return failing;
  }

  /**
   * Guards against incidents ifcb77b and i3b6be0: because of an old report of high load, a backend
   * got no requests any more.
   */
  @Test
  void oldLoadReportLosesItsWeight() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    Send busy = null;
    for (int i = 0; i < 4; i++) {
      f.request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      busy = busy == null ? s : busy;
      f.respondWithLoad(s, 0, s == busy ? 30 : 0);
    }
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      met.add(s.backend());
      f.respondWithLoad(s, 0, 1);
    }
    assertTrue(met.contains(busy.backend()));
  }

  @Test
  void overloadRefusesRequestsEarly() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    for (int i = 0; i < 60; i++) {
      f.request("safe", "unlimited", 1);
      if (i >= 30 && f.emitted(Send.class)) {
        Send s = f.lastAction(Send.class);
        f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 900, true, 0, null));
      }
    }
    f.request("safe", "unlimited", 1);
    assertTrue(f.emitted(Refuse.class));
  }

  /** A response that was read late because the gateway itself paused must not count as overload. */
  @Test
  void ownPauseDoesNotCountAsBackendLatency() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    for (int i = 0; i < 90; i++) {
      f.request("unsafe", "unlimited", 1);
      assertTrue(f.emitted(Send.class), "request " + i);
      Send s = f.lastAction(Send.class);
      if (i >= 30) {
        f.runTimer(275).advanceClock(25 + 70);
        f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 370, true, 0, null));
        f.on(new TimerFired("tick"));
      }
    }
  }

  @Test
  void backendListIsWatchedAndRequestedAgainAfterAFailure() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 2, true));
    assertTrue(f.emitted(WatchBackendList.class));
    f.on(new BackendList(BackendListKind.FAILED, List.of()));
    f.on(new TimerFired("follow"));
    assertTrue(f.emitted(WatchBackendList.class));
  }
}
