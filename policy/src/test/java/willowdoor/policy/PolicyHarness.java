package willowdoor.policy;

import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.AddToCounter;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.BackendList;
import willowdoor.policy.GatewayApi.BackendListKind;
import willowdoor.policy.GatewayApi.CounterResult;
import willowdoor.policy.GatewayApi.DeduplicationScope;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.GatewayOptions;
import willowdoor.policy.GatewayApi.Load;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.RetrySafety;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.SetTimer;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.TimerFired;

/**
 * A gateway under test: its decision module, a simulated clock, and all actions that the module has
 * returned.
 */
final class PolicyHarness {

  static final Plan BASIC = new Plan("basic", 2, 10, 0, 1, 0, 1, 0, 0, 0);
  static final Plan WITH_CEILING = new Plan("with-ceiling", 2, 10, 0, 1, 0, 1, 4, 20, 2);
  static final Plan HIGH_CEILING = new Plan("high-ceiling", 40, 100, 0, 1, 0, 1, 80, 200, 20);
  static final Plan HIGH_RATE = new Plan("high-rate", 40, 100, 0, 1, 0, 1, 0, 0, 0);
  static final Plan UNLIMITED = new Plan("unlimited", 0, 0, 0, 1, 0, 1, 0, 0, 0);
  static final Plan RATE_AND_OPEN_LIMIT =
      new Plan("rate-and-open-limit", 40, 100, 4, 1, 0, 1, 0, 0, 0);
  static final Plan OPEN_LIMIT = new Plan("open-limit", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  final QuotaPolicy policy;
  final List<Action> allActions = new ArrayList<>();
  List<Action> lastActions = List.of();
  double now;
  private int nextId;

  PolicyHarness(Settings settings) {
    this(settings, 1_000_000);
  }

  PolicyHarness(Settings settings, double startMs) {
    now = startMs;
    policy = new QuotaPolicy(settings, 7 + settings.selfIndex());
    record(policy.start(now));
  }

  static Settings settings(boolean counter, int gateways, boolean listOnRequest) {
    return settings(counter, gateways, listOnRequest, 0);
  }

  static Settings settings(boolean counter, int gateways, boolean listOnRequest, int self) {
    List<RequestClass> classes =
        List.of(
            new RequestClass(
                "safe", 1, 0, 1000, 4000, RetrySafety.SAFE, DeduplicationScope.ALL, 0, false),
            new RequestClass(
                "unsafe", 1, 0, 1000, 4000, RetrySafety.UNSAFE, DeduplicationScope.ALL, 0, false),
            new RequestClass(
                "cell", 1, 0, 1000, 4000, RetrySafety.KEYED, DeduplicationScope.CELL, 3000, false),
            new RequestClass(
                "zone", 1, 0, 1000, 4000, RetrySafety.KEYED, DeduplicationScope.ZONE, 3000, false),
            new RequestClass(
                "stream", 1, 0, 1000, 4000, RetrySafety.SAFE, DeduplicationScope.ALL, 0, true));
    return new Settings(
        gateways,
        self,
        "a",
        4,
        0,
        false,
        classes,
        List.of(
            BASIC,
            WITH_CEILING,
            UNLIMITED,
            OPEN_LIMIT,
            RATE_AND_OPEN_LIMIT,
            HIGH_CEILING,
            HIGH_RATE),
        new GatewayOptions(counter, 30, true, false, 4, 1000, true, 2000, listOnRequest),
        new Rules(8, 0.2, 10_000, 3, 2000));
  }

  static PolicyHarness withSharedCounter() {
    return new PolicyHarness(settings(true, 2, false)).backends(4);
  }

  PolicyHarness backends(int n) {
    List<BackendEntry> entries = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      entries.add(new BackendEntry(i, i % 2 == 0 ? "a" : "b", i, Phase.SERVING, 1, 0));
    }
    return on(new BackendList(BackendListKind.CACHED, entries));
  }

  PolicyHarness on(Event event) {
    record(policy.on(now, event));
    return this;
  }

  private void record(List<Action> actions) {
    lastActions = actions;
    allActions.addAll(actions);
  }

  PolicyHarness advanceClock(double ms) {
    now += ms;
    return this;
  }

  /** Advances the clock while the module's timer fires every 25 ms. */
  PolicyHarness runTimer(double ms) {
    List<Action> seen = new ArrayList<>();
    for (double end = now + ms; now < end; ) {
      now = Math.min(end, now + 25);
      on(new TimerFired("tick"));
      seen.addAll(lastActions);
    }
    seen.removeIf(a -> a instanceof SetTimer);
    lastActions = seen;
    return this;
  }

  String request(String className, String plan, double units) {
    String id = "r" + nextId++;
    on(new Request(id, className, plan, 42, 2, units, now + 4000));
    return id;
  }

  PolicyHarness counterReturns(double total) {
    return on(new CounterResult(lastAdd().name(), Status.OK, total, 2));
  }

  PolicyHarness counterCallFails(Status status) {
    return on(new CounterResult(lastAdd().name(), status, 0, 30));
  }

  PolicyHarness outcome(Send send, int attempt, Status status, boolean requestDone) {
    return on(
        new Outcome(send.request(), attempt, send.backend(), status, 50, requestDone, 0, null));
  }

  PolicyHarness respondWithLoad(Send send, int attempt, double inFlight) {
    return on(
        new Outcome(
            send.request(),
            attempt,
            send.backend(),
            Status.OK,
            50,
            true,
            0,
            new Load(inFlight, 50)));
  }

  AddToCounter lastAdd() {
    return find(allActions, AddToCounter.class);
  }

  <T extends Action> T lastAction(Class<T> type) {
    return find(lastActions, type);
  }

  <T extends Action> boolean emitted(Class<T> type) {
    return lastActions.stream().anyMatch(type::isInstance);
  }

  private static <T extends Action> T find(List<Action> actions, Class<T> type) {
    for (int i = actions.size() - 1; i >= 0; i--) {
      if (type.isInstance(actions.get(i))) {
        return type.cast(actions.get(i));
      }
    }
    throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
  }
}
