package willowdoor.policy;

import java.util.*;
import willowdoor.policy.Figures.*;
import willowdoor.policy.GatewayApi.*;
import willowdoor.policy.Job.Attempt;

/** The open requests that were let in: their attempts, repeats, and final answers. */
final class Attempts {
  /**
   * Further attempts for each request, earned by first attempts, and how many the fleet may save
   * up.
   */
  private static final double RETRY_EARNED = 0.15, FLEET_RETRIES_SAVED = 30;

  /**
   * A first attempt that can be repeated is given up after this share of the aim, so that a second
   * fits.
   */
  private static final double FIRST_TRY_OF_AIM = 0.65;

  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double HOLD_OF_AIM = 0.4;

  private final Context ctx;
  private final Fleet fleet;
  private final Choice choice;
  final LinkedHashMap<String, Job> open = new LinkedHashMap<>();
  private final Map<String, Attempt> attempts = new HashMap<>();
  private final double retriesSaved;
  private double retryTokens;

  Attempts(Context ctx, Fleet fleet) {
    this.ctx = ctx;
    this.fleet = fleet;
    choice = new Choice(ctx, fleet);
    retryTokens =
        retriesSaved = Math.max(1, FLEET_RETRIES_SAVED / Math.max(1, ctx.settings.gateways()));
  }

  void dispatch(Job job) {
    Backend b = choice.pick(job);
    job.held = b == null && !job.late(ctx.now);
    if (b != null) {
      send(job, b);
    } else if (!job.held) {
      giveUp(job);
    }
  }

  private void send(Job job, Backend b) {
    double left = job.request.giveUpMs() - ctx.now - Job.GUARD_MS;
    if (left <= 0 || job.attempts >= ctx.settings.allowed().attempts()) {
      giveUp(job);
      return;
    }
    fleet.coldRoom.sent(b);
    double spent = job.attempts == 0 ? -RETRY_EARNED : job.unreached ? 0 : 1;
    retryTokens = Math.min(retriesSaved, retryTokens - spent);
    job.unreached = false;
    Attempt attempt = new Attempt(job, job.attempts, b, ctx.now);
    job.attempts++;
    job.live = attempt;
    job.lastBackend = b;
    job.account.out++;
    ctx.pressure.outNow++;
    b.out.add(attempt);
    attempts.put(job.request.id() + "#" + attempt.number(), attempt);
    ctx.out.add(new Send(job.request.id(), b.id, left, job.keyedUntil - Job.GUARD_MS));
  }

  /**
   * A request that ended while it waited for the counter must not be sent when the answer comes.
   */
  void onClientLeft(String id) {
    Job job = open.remove(id);
    if (job != null) {
      job.waiting = false;
      job.takeBack();
    }
  }

  void onOutcome(Outcome e) {
    Attempt attempt = attempts.remove(e.request() + "#" + e.attempt());
    if (attempt == null) {
      return;
    }
    Job job = attempt.job();
    Backend backend = attempt.backend();
    backend.out.remove(attempt);
    job.account.out--;
    double heldUp = ctx.stalls.heldUp(attempt.sentAt(), ctx.now);
    ctx.pressure.ended(e, attempt.sentAt(), job.aim(), heldUp, ctx.now);
    job.live = job.live == attempt ? null : job.live;
    if (!fleet.banned(backend.id)) {
      backend.learn(e, attempt.sentAt(), heldUp);
    }
    if (e.status() == Status.OK && job.inQuota && e.trueUnits() > 0) {
      job.account.settle(e.trueUnits() - job.request.units());
    }
    job.mayHaveRun |= !e.status().provesNotRun();
    if (job.mayHaveRun && job.type.repeat() == Repeat.KEYED && job.keyedTo == null) {
      job.keyedTo = backend;
      job.keyedUntil = attempt.sentAt() + job.type.repeatWindowMs();
    }
    job.unreached = e.status() == Status.UNREACHABLE;
    if (e.over()) {
      open.remove(e.request());
    } else if (open.containsKey(e.request())) {
      again(job);
    }
  }

  /** From now on the attempt takes the client's time, and is the request's last. */
  void onStreamBegan(StreamBegan e) {
    Attempt attempt = attempts.get(e.request() + "#" + e.attempt());
    if (attempt != null) {
      attempt.job().streaming = true;
      attempt.backend().out.remove(attempt);
    }
  }

  private void again(Job job) {
    boolean allowed =
        !job.mayHaveRun
            || job.type.repeat() == Repeat.SAFE
            || job.type.repeat() == Repeat.KEYED && ctx.now < job.keyedUntil - Job.GUARD_MS;
    double left = job.request.giveUpMs() - ctx.now,
        needed = ctx.pressure.service / 2 + Job.GUARD_MS;
    if (job.streaming || !allowed || retryTokens < 1 && !job.unreached || left < needed) {
      giveUp(job);
    } else {
      dispatch(job);
    }
  }

  /**
   * The final answer when no attempt will follow: a refusal where that promise holds, else a
   * failure.
   */
  private void giveUp(Job job) {
    if (job.late(ctx.now)) {
      Stage stage =
          job.attempts == 0
              ? job.called ? Stage.COUNTER : Stage.HELD
              : job.unreached ? Stage.CONNECT : Stage.ANSWER;
      ctx.figures.expired[stage.ordinal()]++;
    }
    boolean harmless =
        !job.mayHaveRun
            || job.type.repeat() == Repeat.SAFE
            || job.type.repeat() == Repeat.KEYED
                && job.type.group() == Group.ALL
                && ctx.now < job.keyedUntil;
    if (harmless) {
      refuse(job, job.attempts == 0 ? Refusal.NO_BACKEND : Refusal.GIVEN_UP, 0);
    } else {
      open.remove(job.request.id());
      ctx.out.add(new Fail(job.request.id()));
    }
  }

  void refuse(Job job, Refusal why, double holdOffMs) {
    ctx.figures.refused[why.ordinal()]++;
    job.takeBack();
    open.remove(job.request.id());
    Allowed a = ctx.settings.allowed();
    ctx.out.add(
        new Refuse(job.request.id(), a.holdOff() ? Math.min(holdOffMs, a.maxHoldOffMs()) : 0));
  }

  void look(Job job) {
    if (job.live != null) {
      abandonSilent(job);
    } else if (job.held && (job.late(ctx.now) || ctx.now - job.takenAt > HOLD_OF_AIM * job.aim())) {
      giveUp(job);
    } else if (job.held) {
      dispatch(job);
    }
  }

  /**
   * Takes an attempt back from a backend that has answered nothing since it was sent, if a second
   * fits. Guards against dead, cut off and stalled backends. Harm: one slow request looks the same;
   * budgeted.
   */
  private void abandonSilent(Job job) {
    Attempt a = job.live;
    if (a.backend().answeredAt <= a.sentAt()
        && ctx.now - a.sentAt() > job.aim() * FIRST_TRY_OF_AIM
        && !job.abandoned
        && !job.streaming
        && ctx.settings.allowed().cancel()
        && job.type.repeat() != Repeat.UNSAFE
        && retryTokens >= 1) {
      job.abandoned = true;
      ctx.out.add(new Cancel(job.request.id(), a.number()));
    }
  }
}
