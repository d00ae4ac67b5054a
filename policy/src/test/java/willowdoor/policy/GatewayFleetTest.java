package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.TimerFired;

/**
 * Many gateways with fixed seeds. What is harmless for one gateway may be too much for all
 * together, so these tests check the totals.
 */
class GatewayFleetTest {

  private final List<PolicyHarness> fleet = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private final Map<String, Integer> requestedUnits = new HashMap<>();
  private int nextId;

  private void fleet(int gateways, int backends) {
    for (int i = 0; i < gateways; i++) {
      fleet.add(
          new PolicyHarness(PolicyHarness.settings(true, gateways, false, i)).backends(backends));
    }
  }

  /**
   * Sends the given number of requests per second to randomly drawn gateways, and passes each
   * action to the environment.
   */
  private void run(
      double seconds,
      double perSecond,
      String plan,
      BiConsumer<PolicyHarness, Action> environment) {
    double begin = fleet.get(0).now;
    int total = (int) (seconds * perSecond);
    for (int k = 0; k < total; k++) {
      double now = begin + 1000 * k / perSecond;
      PolicyHarness f = fleet.get(random.nextInt(fleet.size()));
      fireTimers(f, now, environment);
      int units = 1 + random.nextInt(4);
      requestedUnits.put("f" + nextId, units);
      f.on(new Request("f" + nextId++, "safe", plan, 42, fleet.size(), units, now + 4000));
      handActions(f, environment);
    }
    fleet.forEach(f -> fireTimers(f, begin + 1000 * seconds, environment));
  }

  private void fireTimers(
      PolicyHarness f, double now, BiConsumer<PolicyHarness, Action> environment) {
    for (double t = f.now + 25; t <= now; t += 25) {
      f.now = t;
      f.on(new TimerFired("tick"));
      handActions(f, environment);
    }
    f.now = now;
  }

  private void handActions(PolicyHarness f, BiConsumer<PolicyHarness, Action> environment) {
    for (Action a : List.copyOf(f.lastActions)) {
      environment.accept(f, a);
    }
  }

  private void respond(
      PolicyHarness f, Send s, Status status, BiConsumer<PolicyHarness, Action> environment) {
    f.on(new Outcome(s.request(), 0, s.backend(), status, 50, status == Status.OK, 0, null));
    handActions(f, environment);
  }

  // If each gateway probed an unresponsive counter at its own rate, the counter would get hundreds
  // of calls per second.
  @Test
  void callsToAnUnresponsiveCounterAreBoundedAcrossGatewaysAndResume() {
    fleet(300, 12);
    int[] calls = new int[1];
    boolean[] silent = {true};
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof AddToCounter add) {
              calls[0]++;
              f.on(new CounterResult(add.name(), silent[0] ? Status.TIMED_OUT : Status.OK, 1, 2));
              handActions(f, this);
            } else if (a instanceof Send s) {
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(20, 900, "basic", world);
    calls[0] = 0;
    run(5, 900, "basic", world);
    assertTrue(calls[0] > 0 && calls[0] < 5 * 300, calls[0] + " calls in 5 s");
    silent[0] = false;
    run(3, 900, "high-rate", world);
    calls[0] = 0;
    run(2, 900, "high-rate", world);
    assertTrue(calls[0] > 2 * 200, "calls resume within 3 s: " + calls[0] + " in 2 s");
  }

  // If every gateway could send a first request to a cold backend at once, the backend would get
  // hundreds.
  @Test
  void warmingBackendIsNotOverloadedByAllGateways() {
    fleet(300, 60);
    int[] cold = new int[1];
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof Send s) {
              cold[0] += s.backend() == 7 ? 1 : 0;
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(10, 600, "unlimited", world);
    int warm = cold[0];
    cold[0] = 0;
    fleet.forEach(
        f ->
            f.on(
                new BackendList(
                    BackendListKind.CHANGES,
                    List.of(new BackendEntry(7, "b", 7, Phase.SERVING, 1, f.now)))));
    run(2, 600, "unlimited", world);
    double share = 0.2 + 0.8 * 2 / 10;
    assertTrue(
        cold[0] <= 1.5 * share * warm / 5, cold[0] + " sent to a cold backend, warm " + warm / 5);
  }

  // A retry budget that is small for one gateway may add up to thousands of retries for the fleet.
  @Test
  void retriesAreBoundedAcrossGateways() {
    fleet(300, 60);
    int[] sent = new int[2];
    Map<String, Integer> attempts = new HashMap<>();
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof Send s) {
              int number = attempts.merge(s.request(), 1, Integer::sum) - 1;
              sent[number == 0 ? 0 : 1]++;
              f.on(new Outcome(s.request(), number, s.backend(), Status.ERROR, 5, false, 0, null));
              handActions(f, this);
            }
          }
        };
    run(10, 600, "unlimited", world);
    assertTrue(sent[1] < 300 + 0.2 * sent[0], sent[1] + " retries for " + sent[0]);
    assertTrue(sent[1] > 0);
  }

  // Without the shared counter, unconfirmed sends of many gateways could add up to far more than
  // the quota.
  @Test
  void gatewaysKeepToTheQuotaWithoutACounter() {
    fleet(100, 12);
    double[] units = new double[1];
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof AddToCounter add) {
              f.on(new CounterResult(add.name(), Status.REJECTED, 0, 2));
              handActions(f, this);
            } else if (a instanceof Send s) {
              units[0] += requestedUnits.get(s.request());
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(20, 100, "high-rate", world);
    units[0] = 0;
    run(20, 100, "high-rate", world);
    assertTrue(units[0] < 20 * PolicyHarness.HIGH_RATE.rate() * 1.3, units[0] + " units in 20 s");
    assertTrue(units[0] > 20 * PolicyHarness.HIGH_RATE.rate() * 0.4, units[0] + " units in 20 s");
  }

  @Test
  void ceilingHoldsWithManyAndWithFewGateways() {
    assertTrue(lowestCeilingLevel(200) >= -PolicyHarness.HIGH_CEILING.ceilingSlack());
    fleet.clear();
    assertTrue(lowestCeilingLevel(3) >= -PolicyHarness.HIGH_CEILING.ceilingSlack());
  }

  private double lowestCeilingLevel(int gateways) {
    fleet(gateways, 12);
    Map<String, Double> counts = new HashMap<>();
    double[] store = {
      PolicyHarness.HIGH_CEILING.ceilingBurst(), fleet.get(0).now, Double.MAX_VALUE, 0
    };
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof AddToCounter add) {
              boolean fails = random.nextDouble() < 0.2;
              double total = counts.merge(add.name(), add.amount(), Double::sum);
              f.on(new CounterResult(add.name(), fails ? Status.TIMED_OUT : Status.OK, total, 2));
              handActions(f, this);
            } else if (a instanceof Send s) {
              double full =
                  store[0] + PolicyHarness.HIGH_CEILING.ceilingRate() * (f.now - store[1]) / 1000;
              store[0] =
                  Math.min(PolicyHarness.HIGH_CEILING.ceilingBurst(), full)
                      - requestedUnits.get(s.request());
              store[1] = f.now;
              store[2] = Math.min(store[2], store[0]);
              store[3]++;
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(30, 200, "high-ceiling", world);
    assertTrue(store[3] > 30, "only " + store[3] + " sent through " + gateways);
    return store[2];
  }

  // The work and the connections of a gateway must not grow with the number of backends.
  @Test
  void gatewayUsesASubsetOfManyBackendsAndAllOfFew() {
    assertTrue(
        countUsedBackends(300, 1000) <= 40, "of a thousand: " + countUsedBackends(300, 1000));
    assertEquals(10, countUsedBackends(3, 10));
  }

  private int countUsedBackends(int gateways, int backends) {
    PolicyHarness f =
        new PolicyHarness(PolicyHarness.settings(true, gateways, false)).backends(backends);
    Set<Long> seen = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      if (f.emitted(Send.class)) {
        seen.add(f.lastAction(Send.class).backend());
        f.outcome(f.lastAction(Send.class), 0, Status.OK, true);
      }
    }
    return seen.size();
  }

  // Each cold backend is in the subsets of only a few gateways, so it could stay idle; it must not
  // get too many requests either.
  @Test
  void replacedBackendsGetTheirShareWhileWarmingUp() {
    fleet(14, 60);
    int[] sent = new int[2];
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof Send s) {
              sent[s.backend() < 24 ? 0 : 1]++;
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(10, 600, "unlimited", world);
    List<BackendEntry> entries = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      boolean old = i < 24;
      entries.add(
          new BackendEntry(
              old ? i : 1000 + i, "a", i, Phase.SERVING, 1, old ? 0 : fleet.get(0).now));
    }
    fleet.forEach(f -> f.on(new BackendList(BackendListKind.COMPLETE, entries)));
    sent[0] = sent[1] = 0;
    run(4, 600, "unlimited", world);
    double bears = 36 * (0.2 + 0.8 * 2 / 10);
    double part = bears / (24 + bears);
    double cold = sent[1] / (double) (sent[0] + sent[1]);
    assertTrue(
        cold > 0.65 * part && cold < 1.2 * part,
        "share of the cold backends " + cold + ", expected " + part);
  }

  // If each gateway drew its subset at random, some backends would be in many subsets and some in
  // none.
  @Test
  void everyBackendIsInEquallyManySubsets() {
    fleet(14, 60);
    Map<Long, Set<PolicyHarness>> usedBy = new HashMap<>();
    Map<PolicyHarness, Set<Long>> uses = new HashMap<>();
    BiConsumer<PolicyHarness, Action> world =
        new BiConsumer<>() {
          @Override
          public void accept(PolicyHarness f, Action a) {
            if (a instanceof Send s) {
              usedBy.computeIfAbsent(s.backend(), b -> new HashSet<>()).add(f);
              uses.computeIfAbsent(f, g -> new HashSet<>()).add(s.backend());
              respond(f, s, Status.OK, this);
            }
          }
        };
    run(20, 600, "unlimited", world);
    assertEquals(60, usedBy.size());
    usedBy.forEach((b, by) -> assertTrue(by.size() >= 3 && by.size() <= 5, b + " by " + by.size()));
    uses.forEach((f, u) -> assertTrue(u.size() <= 20, "size of a gateway's subset: " + u.size()));
  }

  // After a stall of its own, a gateway must not count the delay as backend latency, nor act before
  // it has read the events that arrived.
  @Test
  void stalledGatewayReadsPendingEventsFirstAndRefusesNoRequest() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 300, false)).backends(12);
    for (int round = 0; round < 10; round++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      f.runTimer(25);
      f.advanceClock(2000).on(new TimerFired("tick"));
      assertFalse(f.emitted(Cancel.class), "the response may not have been read yet");
      f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 2020, true, 0, null));
      f.advanceClock(1).on(new TimerFired("tick"));
    }
    f.request("safe", "unlimited", 1);
    assertTrue(f.emitted(Send.class));
  }

  // Lost responses must not count as overload. A few slow backends look the same and are not
  // detected here.
  @Test
  void lostAnswersAreNotOverload() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 300, false)).backends(12);
    for (int i = 0; i < 30; i++) {
      f.runTimer(100).request("unsafe", "unlimited", 1);
      Send lost = f.lastAction(Send.class);
      f.runTimer(100).request("safe", "unlimited", 1);
      f.outcome(f.lastAction(Send.class), 0, Status.OK, true);
      f.on(new Outcome(lost.request(), 0, lost.backend(), Status.TIMED_OUT, 3900, false, 0, null));
    }
    f.runTimer(50).request("safe", "unlimited", 1);
    assertTrue(f.emitted(Send.class));
  }

  // Invalid settings and events must lead to one final answer and no exception.
  @Test
  void invalidInputIsAnsweredExactlyOnce() {
    for (int gateways : new int[] {0, 1, 400}) {
      for (int entryPoints : new int[] {-1, 0, 1, 1000}) {
        PolicyHarness f =
            new PolicyHarness(PolicyHarness.settings(true, gateways, false)).backends(1000);
        int[] answers = new int[1];
        assertDoesNotThrow(
            () -> {
              f.on(new Request("x", "safe", "basic", 5, entryPoints, 1, f.now + 4000));
              for (int i = 0; i < 500; i++) {
                answers[0] += f.emitted(Refuse.class) || f.emitted(Fail.class) ? 1 : 0;
                if (f.emitted(Send.class)) {
                  f.on(
                      new Outcome(
                          "x",
                          0,
                          f.lastAction(Send.class).backend(),
                          Status.OK,
                          1e9,
                          true,
                          0,
                          null));
                  answers[0]++;
                }
                f.runTimer(10);
              }
              f.on(new CounterResult("never asked", Status.OK, 3, 1));
              f.on(new Outcome("never sent", 3, 1, Status.OK, 1, true, 0, null));
            });
        assertEquals(1, answers[0], gateways + " gateways, " + entryPoints + " entry points");
      }
    }
  }

  // A backend may restart before the backend list reports it, so a refused connection counts as a
  // restart.
  @Test
  void backendThatRefusedAConnectionIsTreatedAsCold() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 300, false)).backends(1);
    f.request("safe", "unlimited", 1);
    f.outcome(f.lastAction(Send.class), 0, Status.UNREACHABLE, false);
    f.runTimer(9_000);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      f.runTimer(25).request("safe", "unlimited", 1);
      if (f.emitted(Send.class)) {
        sent++;
        f.outcome(f.lastAction(Send.class), 0, Status.OK, true);
      }
    }
    assertTrue(sent < 20, sent + " of 40 sent at once");
  }

  // If a zone is unreachable, a gateway must not learn it from each backend separately: failures
  // count for the whole zone.
  @Test
  void unreachableZoneIsAvoidedAfterAFewFailures() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 300, false)).backends(200);
    int near = 0;
    int all = 0;
    for (int i = 0; i < 60; i++) {
      f.runTimer(25).request("unsafe", "unlimited", 1);
      Send s = f.lastAction(Send.class);
      boolean lost = s.backend() % 2 == 1;
      near += i >= 20 && !lost ? 1 : 0;
      all += i >= 20 ? 1 : 0;
      f.outcome(s, 0, lost ? Status.RESET : Status.OK, !lost);
    }
    assertTrue(near > 0.85 * all, near + " of " + all + " requests to the reachable zone");
  }

  // The quota of a customer must hold if its gateway restarts or if it changes to another gateway.
  @Test
  void restartedGatewayRestoresTheQuotaFromTheSharedCount() {
    PolicyHarness f = PolicyHarness.withSharedCounter();
    f.request("safe", "basic", 4);
    f.counterReturns(4);
    assertTrue(f.emitted(Send.class));
    PolicyHarness again =
        new PolicyHarness(PolicyHarness.settings(true, 2, false), f.now + 100).backends(4);
    again.request("safe", "basic", 4);
    again.counterReturns(200);
    assertTrue(again.emitted(Refuse.class));
  }

  @Test
  void requestsWithoutBackendsAreAnsweredOnceBeforeTheDeadline() {
    PolicyHarness f = new PolicyHarness(PolicyHarness.settings(true, 300, false)).backends(0);
    f.request("safe", "unlimited", 1);
    assertFalse(f.emitted(Send.class));
    f.runTimer(3900);
    assertEquals(
        1, f.allActions.stream().filter(a -> a instanceof Refuse || a instanceof Fail).count());
  }
}
