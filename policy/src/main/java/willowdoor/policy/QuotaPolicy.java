package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/**
 * All decisions of one gateway. Its interface (settings, events, actions) is GatewayApi.java in
 * this folder. The ordinary path: each request's estimate is added to its customer's shared count,
 * refused if the answer shows that it passes the plan's quota, and settled by the true units
 * (docs/design.md tells the departures). One instance a gateway, one thread; time comes with the
 * events.
 */
public final class QuotaPolicy {
  /** Without open requests a slow pulse is enough: it shows when this gateway stood still. */
  private static final double PULSE_MS = 250;

  private final Context ctx;
  private final Fleet fleet;
  private final Attempts attempts;
  private final SharedCount count;
  private final Admission admission;

  public QuotaPolicy(Settings settings, long seed) {
    ctx = new Context(settings, seed);
    fleet = new Fleet(ctx);
    attempts = new Attempts(ctx, fleet);
    count = new SharedCount(ctx);
    admission = new Admission(ctx, count, attempts);
  }

  /** To be called once, before any event. */
  public List<Action> start(double nowMs) {
    ctx.now = ctx.startedAt = nowMs;
    arm(Job.TICK_MS);
    if (ctx.settings.allowed().rosterOnRequest()) {
      ctx.out.add(new FollowRoster());
    }
    return ctx.out;
  }

  /** Takes one event and gives what to do, in order. */
  public List<Action> on(double nowMs, Event event) {
    ctx.now = nowMs;
    ctx.out = new ArrayList<>();
    ctx.stalls.note(nowMs);
    if (event instanceof Request e) {
      admission.onRequest(e);
      if (ctx.stalls.wakeAt > nowMs + Job.TICK_MS && !attempts.open.isEmpty()) {
        arm(Job.TICK_MS);
      }
    } else if (event instanceof Outcome e) {
      attempts.onOutcome(e);
    } else if (event instanceof Counted e) {
      admission.onCounted(e);
    } else if (event instanceof Woken e) {
      onWoken(e);
    } else if (event instanceof Roster e) {
      fleet.onRoster(e);
    } else if (event instanceof Ban e) {
      fleet.onBan(e);
    } else if (event instanceof ClientLeft e) {
      attempts.onClientLeft(e.request());
    } else if (event instanceof StreamBegan e) {
      attempts.onStreamBegan(e);
    }
    return ctx.out;
  }

  private void onWoken(Woken e) {
    if (e.label().equals("follow")) {
      ctx.out.add(new FollowRoster());
    } else if (ctx.now >= ctx.stalls.wakeAt) {
      boolean stalled = ctx.stalls.stalled(ctx.now);
      for (Job job : stalled ? List.<Job>of() : List.copyOf(attempts.open.values())) {
        admission.look(job);
      }
      arm(stalled ? 1 : attempts.open.isEmpty() ? PULSE_MS : Job.TICK_MS);
    }
  }

  private void arm(double ms) {
    ctx.stalls.wakeAt = ctx.now + ms;
    ctx.out.add(new WakeAt(ctx.stalls.wakeAt, "tick"));
  }

  /** Whether operators have taken it out. */
  public boolean banned(long backend) {
    return fleet.banned(backend);
  }

  /** Whether operators may name it: one of the roster, or one that they have taken out. */
  public boolean knows(long backend) {
    return fleet.knows(backend);
  }

  /** For the log: what the guards see, and how calls and requests ended since last asked. */
  public String figures() {
    return ctx.figures.text(
        ctx.pressure.expectedOfAim(ctx.now),
        ctx.pressure.service,
        count.pace.pace,
        ctx.pressure.serving,
        ctx.stalls.heldUpInAll);
  }
}
