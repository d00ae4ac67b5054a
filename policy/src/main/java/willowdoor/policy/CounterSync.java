package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/** Keeps the customers' quotas, and synchronizes them with the shared counter. */
final class CounterSync {
  /**
   * A total is raised if the level derived from it exceeds a full bucket by more than this many
   * bursts.
   */
  private static final double MIN_UNUSED_BURSTS = 0.25;

  /**
   * More unused bursts than this occur only in a new window whose first caller has not corrected
   * the total yet; then this share of the calls corrects it.
   */
  private static final double NEW_WINDOW_BURSTS = 3, NEW_WINDOW_CORRECTION_SHARE = 0.05;

  /**
   * Share of the calls that raise a total, because some are made before the correction of another
   * gateway has arrived.
   */
  private static final double UNUSED_CORRECTION_SHARE = 0.3;

  /**
   * Share of the use at the end of a window that is carried over into the next one; the rest covers
   * units that were counted twice.
   */
  private static final double CARRY_OVER_SHARE = 0.7;

  private static final double COUNT_TTL_MS = 60_000;

  /** One call to the counter: the units that it adds, and the request that waits for it, if any. */
  private record Call(CustomerQuota quota, long window, double amount, PendingRequest pending) {
    double requestedUnits() {
      return pending == null ? 0 : pending.requestedUnits;
    }
  }

  private final Context ctx;
  final CounterThrottle throttle;
  private final Map<String, Plan> plans = new HashMap<>();

  /** Share of each plan's requests that recent counter answers admitted. */
  private final Map<String, MovingAverage> admittedShares = new HashMap<>();

  private final Map<String, ArrayDeque<Call>> openCalls = new HashMap<>();

  /**
   * In order of use. When a new customer arrives, the one that has been idle for longest is removed
   * if its counts have expired and it has no open attempts, so the map does not grow without bound.
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

  /**
   * Adds the units of the request to the count, or only reads the total if the replica has no room.
   * The request waits for the answer.
   */
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

  /**
   * Handles the result of a call. Returns the request that waited for it, or null if no request
   * waits.
   */
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
    boolean succeeded = result.status() == Status.OK, added = !result.status().provesNotRun();
    quota.refill();
    quota.inFlightUnits -= call.requestedUnits();
    if (!ctx.stallDetector.isStalled(ctx.now) || succeeded) {
      throttle.onResult(result.status());
    }
    if (succeeded
        && pending == null
        && call.amount == 0) { // the call only read the final total of a window
      initializeWindow(quota, call.window + 1, quota.levelFromTotal(result.total(), call.window));
    } else if (succeeded) {
      applyTotal(quota, call, result.total());
    } else if (added) {
      quota.uncertainUnits += quota.usesTotals ? 0 : call.amount; // the next total includes them
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
   * Applies the growth of the shared total to the replica. Growth beyond the units of this gateway
   * was added by other gateways. A total that drops by more than half means that the counter lost
   * its data, not that there is new quota: the replica keeps its level.
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
      quota.applyOthersUse(others, sinceMs);
    }
    quota.updateRates(others, sinceMs);
  }

  /**
   * Derives the bucket level from a total, in the same way at every gateway. Two corrections that
   * depend on the history of the totals are added to the count itself. The first caller of a window
   * adds the use carried over from the previous window. A caller that sees refill beyond a full
   * bucket adds half of it, because another gateway may do so as well. A counter that lost its data
   * looks like a refill.
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
   * Adds to the count of a new window the units that make its level match the level at the end of
   * the previous window.
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
