package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;

/** The customers met, and the calls by which the counter's totals come to their replicas. */
final class SharedCount {
  /**
   * A total so many bursts below what the rate has refilled is raised: a store holds one burst at
   * most.
   */
  private static final double UNUSED_BURSTS = 0.25;

  /**
   * So many bursts are unused only where a window has begun that its first caller is still to put
   * right.
   */
  private static final double BEGINNING_BURSTS = 3, BEGINNING_TOLD = 0.05;

  /** The share of looks that raise it, as some come before another's raise has arrived. */
  private static final double UNUSED_TOLD = 0.3;

  /**
   * The part of what a window ended with that the next begins with: what was counted twice is
   * forgotten.
   */
  private static final double CARRIED = 0.7;

  private static final double COUNT_TTL_MS = 60_000;

  /** One call to the counter: what it adds, and the request that waits for it, if one does. */
  private record Call(Account account, long window, double amount, Job job) {
    double asked() {
      return job == null ? 0 : job.asked;
    }
  }

  private final Context ctx;
  final CounterPace pace;
  private final Map<String, Plan> plans = new HashMap<>();
  private final Map<String, Mean> letIn =
      new HashMap<>(); // of each plan's requests, by the answers of late
  private final Map<String, ArrayDeque<Call>> calls = new HashMap<>();

  /**
   * In order of use, so that the longest idle is dropped when another is met: nothing grows for
   * ever.
   */
  private final Map<Long, Account> accounts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Account> e) {
          return ctx.now - e.getValue().levelAt > COUNT_TTL_MS && e.getValue().out == 0;
        }
      };

  SharedCount(Context ctx) {
    this.ctx = ctx;
    pace = new CounterPace(ctx);
    ctx.settings.plans().forEach(p -> plans.put(p.name(), p));
  }

  Account account(Request r) {
    Account a =
        accounts.computeIfAbsent(
            r.customer(),
            c -> {
              Plan plan = plans.getOrDefault(r.planName(), mostCarefulPlan());
              Mean of =
                  letIn.computeIfAbsent(
                      plan.name(), n -> new Mean(0.02, Account.RATE_MEMORY_MS, ctx.now, 0.5));
              return new Account(ctx, c, plan, of, r.entryPoints());
            });
    a.advance();
    return a;
  }

  private Plan mostCarefulPlan() {
    return ctx.settings.plans().stream()
        .filter(p -> p.rate() > 0)
        .min(Comparator.comparingDouble(Plan::rate))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  /** Adds the request's units, or only reads where the replica has no room; the request waits. */
  void call(Job job) {
    Account a = job.account;
    job.waiting = true;
    job.called = true;
    job.asked = a.byTotal || a.level >= job.request.units() ? job.request.units() : 0;
    job.window = a.windowNow();
    add(new Call(a, job.window, job.asked + a.owed, job));
    a.flying += job.asked;
    a.owed = 0;
  }

  private void add(Call call) {
    String name = call.account.name(call.window);
    calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    ctx.out.add(new Add(name, call.amount, COUNT_TTL_MS));
  }

  void correct(Account a, long window, double amount) {
    add(new Call(a, window, amount, null));
  }

  /** Takes a call's end; gives the request that has waited for it, if one still did. */
  Job onCounted(Counted e) {
    ArrayDeque<Call> queue = calls.get(e.name());
    if (queue == null) {
      return null;
    }
    Call call = queue.poll();
    if (queue.isEmpty()) {
      calls.remove(e.name());
    }
    Account a = call.account;
    Job job = call.job;
    boolean ok = e.status() == Status.OK, added = !e.status().provesNotRun();
    a.advance();
    a.flying -= call.asked();
    if (!ctx.stalls.stalled(ctx.now) || ok) {
      pace.judge(e.status());
    }
    if (ok && job == null && call.amount == 0) { // it only read what the window ended with
      beginWindow(a, call.window + 1, a.levelBy(e.total(), call.window));
    } else if (ok) {
      observe(a, call, e.total());
    } else if (added) {
      a.maybe += a.byTotal ? 0 : call.amount; // a total tells it by itself
    } else {
      a.owed += call.amount - call.asked();
    }
    if (job == null) {
      return null;
    }
    job.called = false;
    if (!job.waiting) {
      a.owed += (job.inQuota ? job.request.units() : 0) - (added ? job.asked : 0);
      return null;
    }
    job.waiting = false;
    job.added = added && job.asked > 0;
    return job;
  }

  /**
   * Replays the growth of the shared total into the replica. Growth beyond what was added here is
   * others'. A total that halves is an emptied counter, not fresh quota: the replica keeps its
   * level.
   */
  private void observe(Account a, Call call, double total) {
    boolean fresh = a.window != call.window;
    double since =
        ctx.now - (fresh || Double.isNaN(a.syncedAt) ? a.windowStart(call.window) : a.syncedAt);
    double others = (fresh ? total : total - a.seen) - call.amount;
    others = !fresh && others < 0 && total < a.seen / 2 ? Math.max(0, total - call.amount) : others;
    a.window = call.window;
    a.seen = total;
    if (a.byTotal) {
      readLevel(a, call, total);
      others = Math.min(Math.max(0, others), a.plan.burst() + a.plan.rate() * since / 1000);
    } else {
      double mine = Math.min(a.maybe, Math.max(0, others));
      others -= mine;
      a.owed += a.maybe - mine;
      a.maybe = 0;
      a.replay(others, since);
    }
    a.learn(others, since);
  }

  /**
   * Works the bucket's level out of a total, alike at every gateway. Two things that only the
   * totals' history tells are put into the count itself, each by whom it concerns first: what was
   * still owed as the window before ended, by the first to add to a window; and the rate's refill
   * beyond a full bucket, by whoever sees much of it, half at a time, as another may too. An
   * emptied counter looks like a refill.
   */
  private void readLevel(Account a, Call call, double total) {
    double burst = a.plan.burst();
    if (call.job != null && call.amount > 0 && total == call.amount) {
      correct(a, call.window - 1, 0);
    }
    double level = a.levelBy(total - call.asked(), call.window);
    double unused = level / burst - 1;
    if (call.job != null
        && unused > UNUSED_BURSTS
        && ctx.random.nextDouble() < (unused > BEGINNING_BURSTS ? BEGINNING_TOLD : UNUSED_TOLD)) {
      correct(a, call.window, Math.min((level - burst) / 2, burst));
    }
    a.level = Math.min(burst, level);
  }

  /**
   * Puts into a window's count what makes it tell the level that the bucket has by the window
   * before.
   */
  private void beginWindow(Account a, long window, double levelBefore) {
    double used = Math.max(0, Math.min(1, 1 - levelBefore / a.plan.burst())) * a.plan.burst();
    correct(a, window, Math.max(0, a.levelBy(0, window) - a.plan.burst()) + CARRIED * used);
  }
}
