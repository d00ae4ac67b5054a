package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * Makes all decisions of one gateway. {@link GatewayApi} defines its settings, events and actions.
 * In the normal case, the estimated units of a request are added to the shared count of its
 * customer. The request is refused if the returned total exceeds the quota of the plan; otherwise
 * the count is corrected by the actual units afterwards. docs/design.md describes the exceptions.
 * Each gateway has one instance, used by one thread; the time is passed with each event.
 */
public final class QuotaPolicy {
  /**
   * Timer interval without open requests, which is short enough to detect stalls of this gateway.
   */
  private static final double IDLE_TICK_MS = 250;

  private final Context ctx;
  private final BackendRegistry backends;
  private final Dispatcher dispatcher;
  private final CounterSync counterSync;
  private final AdmissionControl admission;

  public QuotaPolicy(Settings settings, long seed) {
    ctx = new Context(settings, seed);
    backends = new BackendRegistry(ctx);
    dispatcher = new Dispatcher(ctx, backends);
    counterSync = new CounterSync(ctx);
    admission = new AdmissionControl(ctx, counterSync, dispatcher);
  }

  /** Must be called once, before any event. */
  public List<Action> start(double nowMs) {
    ctx.now = ctx.startedAt = nowMs;
    setTimer(PendingRequest.TICK_MS);
    if (ctx.settings.options().backendListOnRequest()) {
      ctx.actions.add(new WatchBackendList());
    }
    return ctx.actions;
  }

  /** Processes one event and returns the actions to perform, in order. */
  public List<Action> on(double nowMs, Event event) {
    ctx.now = nowMs;
    ctx.actions = new ArrayList<>();
    ctx.stallDetector.onEvent(nowMs);
    if (event instanceof Request e) {
      admission.onRequest(e);
      if (ctx.stallDetector.nextWakeAt > nowMs + PendingRequest.TICK_MS
          && !dispatcher.openRequests.isEmpty()) {
        setTimer(PendingRequest.TICK_MS);
      }
    } else if (event instanceof Outcome e) {
      dispatcher.onOutcome(e);
    } else if (event instanceof CounterResult e) {
      admission.onCounterResult(e);
    } else if (event instanceof TimerFired e) {
      onTimer(e);
    } else if (event instanceof BackendList e) {
      backends.onBackendList(e);
    } else if (event instanceof BackendExclusion e) {
      backends.onExclusion(e);
    } else if (event instanceof ClientDisconnected e) {
      dispatcher.onClientDisconnected(e.request());
    } else if (event instanceof StreamStarted e) {
      dispatcher.onStreamStarted(e);
    }
    return ctx.actions;
  }

  private void onTimer(TimerFired e) {
    if (e.label().equals("follow")) {
      ctx.actions.add(new WatchBackendList());
    } else if (ctx.now >= ctx.stallDetector.nextWakeAt) {
      boolean stalled = ctx.stallDetector.isStalled(ctx.now);
      for (PendingRequest pending :
          stalled ? List.<PendingRequest>of() : List.copyOf(dispatcher.openRequests.values())) {
        admission.onTick(pending);
      }
      setTimer(
          stalled ? 1 : dispatcher.openRequests.isEmpty() ? IDLE_TICK_MS : PendingRequest.TICK_MS);
    }
  }

  private void setTimer(double delayMs) {
    ctx.stallDetector.nextWakeAt = ctx.now + delayMs;
    ctx.actions.add(new SetTimer(ctx.stallDetector.nextWakeAt, "tick"));
  }

  /** Whether operators have excluded the backend. */
  public boolean isExcluded(long backend) {
    return backends.excluded(backend);
  }

  /** Whether the backend is in the list or excluded, so that operators may refer to it. */
  public boolean isKnown(long backend) {
    return backends.isKnown(backend);
  }

  /** Returns the load figures for the log, and how calls and requests ended since the last call. */
  public String summarizeStats() {
    return ctx.stats.summarizeAndReset(
        ctx.load.expectedWaitShare(ctx.now),
        ctx.load.serviceMs,
        counterSync.throttle.callShare,
        ctx.load.servingBackends,
        ctx.stallDetector.totalPauseMs);
  }
}
