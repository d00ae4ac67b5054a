package willowdoor.policy;

import willowdoor.policy.Figures.*;
import willowdoor.policy.GatewayApi.*;

/**
 * Which requests are let in: by the fleet's wait, the customer's open limit, its quota and its
 * ceiling.
 */
record Admission(Context ctx, SharedCount count, Attempts attempts) {
  /**
   * A request waits for the counter at most this share of its aim; the rest is for the backends.
   */
  private static final double COUNT_WAIT_OF_AIM = 0.06;

  void onRequest(Request r) {
    Job job = new Job(r, ctx.type(r), count.account(r), ctx.now);
    attempts.open.put(r.id(), job);
    ctx.pressure.met(job.worth(), r.units(), ctx.now);
    if (attempts.open.size() >= ctx.settings.allowed().open()) {
      attempts.refuse(job, Refusal.FULL, 0);
    } else if (job.late(ctx.now)) {
      ctx.figures.expired[Stage.ARRIVAL.ordinal()]++;
      attempts.refuse(job, Refusal.LATE, 0);
    } else if (ctx.pressure.pressed(job.worth(), 0, ctx.now)) {
      attempts.refuse(job, Refusal.PRESSED, 0);
    } else {
      check(job);
    }
  }

  private void check(Job job) {
    Account a = job.account;
    if ((!a.shared() || a.plan.rate() <= 0 || a.told()) && a.openFull()) {
      beyondQuota(job, Refusal.OPEN_LIMIT);
    } else if (a.plan.rate() <= 0 && a.plan.ceilingRate() <= 0) {
      attempts.dispatch(job);
    } else if (!a.shared()) {
      decide(job, false);
    } else if (a.surelySpent(job.request.units())
        || a.byTotal && ctx.random.nextDouble() >= a.hopeful()) {
      beyondQuota(job, Refusal.SPENT);
    } else if (count.pace.mayCall()) {
      count.call(job);
    } else {
      decide(job, false);
    }
  }

  void onCounted(Counted e) {
    Job job = count.onCounted(e);
    if (job != null) {
      decide(job, e.status() == Status.OK);
    }
  }

  /**
   * By the answered total, or else by the replica with the share of the refill this gateway is used
   * to.
   */
  private void decide(Job job, boolean answered) {
    Account a = job.account;
    double units = job.request.units();
    boolean within = a.within(units, answered, job.called ? job.asked : 0);
    boolean barred =
        a.plan.rate() > 0 && !within
            || a.shared()
                && !answered
                && ctx.pressure.pressed(job.worth(), Pressure.UNCONFIRMED, ctx.now);
    boolean openFull = a.openFull();
    if (barred || openFull || !a.holdsCeiling(units, answered)) {
      if (job.added && answered && a.byTotal) {
        count.correct(a, job.window, -units);
      } else if (job.added) {
        a.owed -= units;
      }
      job.added = false;
      beyondQuota(
          job,
          !barred && openFull
              ? Refusal.OPEN_LIMIT
              : answered ? Refusal.BEYOND : Refusal.UNCONFIRMED);
      return;
    }
    a.take(units);
    job.inQuota = true;
    a.owed += job.added || job.called ? 0 : units;
    attempts.dispatch(job);
  }

  /**
   * Beyond its quota a request goes on only where the plan earns by it, under no ceiling, fleet
   * idle.
   */
  private void beyondQuota(Job job, Refusal why) {
    double rate = job.account.plan.rate(), wait = ctx.pressure.expectedOfAim(ctx.now);
    if (job.account.earnsBeyond() && wait < Pressure.LOW - Pressure.UNCONFIRMED) {
      attempts.dispatch(job);
    } else {
      double missing = job.request.units() - job.account.level;
      attempts.refuse(job, why, rate > 0 ? Math.max(Job.TICK_MS, missing / rate * 1000) : 0);
    }
  }

  /** Keeps every request moving: no wait for the counter or for a backend outlasts its bound. */
  void look(Job job) {
    if (job.live != null || !job.waiting) {
      attempts.look(job);
    } else if (job.late(ctx.now) || ctx.now - job.takenAt > COUNT_WAIT_OF_AIM * job.aim()) {
      job.waiting = false;
      decide(job, false);
    }
  }
}
