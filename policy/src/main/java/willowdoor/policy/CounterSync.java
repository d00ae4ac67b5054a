package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/** The customers met, and the calls by which the counter's totals come to their replicas. */
final class CounterSync {
  /**
   * A total so many bursts below what the rate has refilled is raised: a store holds one burst at
   * most.
   */
  private static final double MIN_UNUSED_BURSTS = 0.25;

  /**
   * So many bursts are unused only where a window has begun that its first caller is still to put
   * right.
   */
  private static final double NEW_WINDOW_BURSTS = 3, NEW_WINDOW_CORRECTION_SHARE = 0.05;

  /** The share of looks that raise it, as some come before another's raise has arrived. */
  private static final double UNUSED_CORRECTION_SHARE = 0.3;

  /**
   * The part of what a window ended with that the next begins with: what was counted twice is
   * forgotten.
   */
  private static final double CARRY_OVER_SHARE = 0.7;

  private static final double COUNT_TTL_MS = 60_000;

  /** One call to the counter: what it adds, and the request that waits for it, if one does. */
  private record Call(CustomerQuota quota, long window, double amount, PendingRequest pending) {
    double requestedUnits() {
      return pending == null ? 0 : pending.requestedUnits;
    }
  }

  private final Context ctx;
  final CounterThrottle throttle;
  private final Map<String, Plan> plans = new HashMap<>();
  private final Map<String, MovingAverage> admittedShares =
      new HashMap<>(); // of each plan's requests, by the answers of late
  private final Map<String, ArrayDeque<Call>> openCalls = new HashMap<>();

  /**
   * In order of use, so that the longest idle is dropped when another is met: nothing grows for
   * ever.
   */
  private final Map<Long, CustomerQuota> quotas =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, CustomerQuota> e) {
          return ctx.now - e.getValue().levelUpdatedAt > COUNT_TTL_MS
              && e.getValue().openAttempts == 0;
        }
      };

  CounterSync(Context ctx) {
    this.ctx = ctx;
    throttle = new CounterThrottle(ctx);
    ctx.settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  CustomerQuota quotaOf(Request request) {
    CustomerQuota quota =
        quotas.computeIfAbsent(
            request.customer(),
            c -> {
              Plan plan = plans.getOrDefault(request.planName(), lowestRatePlan());
              MovingAverage of =
                  admittedShares.computeIfAbsent(
                      plan.name(),
                      n -> new MovingAverage(0.02, CustomerQuota.RATE_AVERAGING_MS, ctx.now, 0.5));
              return new CustomerQuota(ctx, c, plan, of, request.entryPoints());
            });
    quota.refill();
    return quota;
  }

  private Plan lowestRatePlan() {
    return ctx.settings.plans().stream()
        .filter(p -> p.rate() > 0)
        .min(Comparator.comparingDouble(Plan::rate))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  /** Adds the request's units, or only reads where the replica has no room; the request waits. */
  void call(PendingRequest pending) {
    CustomerQuota quota = pending.quota;
    pending.waitingForCounter = true;
    pending.counterCallOpen = true;
    pending.requestedUnits =
        quota.usesTotals || quota.level >= pending.request.units() ? pending.request.units() : 0;
    pending.counterWindow = quota.currentWindow();
    add(
        new Call(
            quota, pending.counterWindow, pending.requestedUnits + quota.unreportedUnits, pending));
    quota.inFlightUnits += pending.requestedUnits;
    quota.unreportedUnits = 0;
  }

  private void add(Call call) {
    String name = call.quota.counterName(call.window);
    openCalls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    ctx.actions.add(new AddToCounter(name, call.amount, COUNT_TTL_MS));
  }

  void correct(CustomerQuota quota, long window, double amount) {
    add(new Call(quota, window, amount, null));
  }

  /** Takes a call's end; gives the request that has waited for it, if one still did. */
  PendingRequest onCounterResult(CounterResult result) {
    ArrayDeque<Call> queue = openCalls.get(result.name());
    if (queue == null) {
      return null;
    }
    Call call = queue.poll();
    if (queue.isEmpty()) {
      openCalls.remove(result.name());
    }
    CustomerQuota quota = call.quota;
    PendingRequest pending = call.pending;
    boolean ok = result.status() == Status.OK, added = !result.status().provesNotRun();
    quota.refill();
    quota.inFlightUnits -= call.requestedUnits();
    if (!ctx.stallDetector.isStalled(ctx.now) || ok) {
      throttle.onResult(result.status());
    }
    if (ok && pending == null && call.amount == 0) { // it only read what the window ended with
      initializeWindow(quota, call.window + 1, quota.levelFromTotal(result.total(), call.window));
    } else if (ok) {
      applyTotal(quota, call, result.total());
    } else if (added) {
      quota.uncertainUnits += quota.usesTotals ? 0 : call.amount; // a total tells it by itself
    } else {
      quota.unreportedUnits += call.amount - call.requestedUnits();
    }
    if (pending == null) {
      return null;
    }
    pending.counterCallOpen = false;
    if (!pending.waitingForCounter) {
      quota.unreportedUnits +=
          (pending.chargedToQuota ? pending.request.units() : 0)
              - (added ? pending.requestedUnits : 0);
      return null;
    }
    pending.waitingForCounter = false;
    pending.addedToCounter = added && pending.requestedUnits > 0;
    return pending;
  }

  /**
   * Replays the growth of the shared total into the replica. Growth beyond what was added here is
   * others'. A total that halves is an emptied counter, not fresh quota: the replica keeps its
   * level.
   */
  private void applyTotal(CustomerQuota quota, Call call, double total) {
    boolean newWindow = quota.lastWindow != call.window;
    double sinceMs =
        ctx.now
            - (newWindow || Double.isNaN(quota.syncedAt)
                ? quota.windowStart(call.window)
                : quota.syncedAt);
    double others = (newWindow ? total : total - quota.lastTotal) - call.amount;
    others =
        !newWindow && others < 0 && total < quota.lastTotal / 2
            ? Math.max(0, total - call.amount)
            : others;
    quota.lastWindow = call.window;
    quota.lastTotal = total;
    if (quota.usesTotals) {
      estimateLevel(quota, call, total);
      others =
          Math.min(Math.max(0, others), quota.plan.burst() + quota.plan.rate() * sinceMs / 1000);
    } else {
      double ownUnits = Math.min(quota.uncertainUnits, Math.max(0, others));
      others -= ownUnits;
      quota.unreportedUnits += quota.uncertainUnits - ownUnits;
      quota.uncertainUnits = 0;
      quota.replayOthers(others, sinceMs);
    }
    quota.updateRates(others, sinceMs);
  }

  /**
   * Works the bucket's level out of a total, alike at every gateway. Two things that only the
   * totals' history tells are put into the count itself, each by whom it concerns first: what was
   * still owed as the window before ended, by the first to add to a window; and the rate's refill
   * beyond a full bucket, by whoever sees much of it, half at a time, as another may too. An
   * emptied counter looks like a refill.
   */
  private void estimateLevel(CustomerQuota quota, Call call, double total) {
    double burst = quota.plan.burst();
    if (call.pending != null && call.amount > 0 && total == call.amount) {
      correct(quota, call.window - 1, 0);
    }
    double level = quota.levelFromTotal(total - call.requestedUnits(), call.window);
    double unusedBursts = level / burst - 1;
    if (call.pending != null
        && unusedBursts > MIN_UNUSED_BURSTS
        && ctx.random.nextDouble()
            < (unusedBursts > NEW_WINDOW_BURSTS
                ? NEW_WINDOW_CORRECTION_SHARE
                : UNUSED_CORRECTION_SHARE)) {
      correct(quota, call.window, Math.min((level - burst) / 2, burst));
    }
    quota.level = Math.min(burst, level);
  }

  /**
   * Puts into a window's count what makes it tell the level that the bucket has by the window
   * before.
   */
  private void initializeWindow(CustomerQuota quota, long window, double levelBefore) {
    double used =
        Math.max(0, Math.min(1, 1 - levelBefore / quota.plan.burst())) * quota.plan.burst();
    correct(
        quota,
        window,
        Math.max(0, quota.levelFromTotal(0, window) - quota.plan.burst())
            + CARRY_OVER_SHARE * used);
  }
}
