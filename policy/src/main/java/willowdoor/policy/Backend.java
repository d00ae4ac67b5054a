package willowdoor.policy;

import java.util.LinkedHashSet;
import willowdoor.policy.GatewayApi.*;

/** One backend as this gateway sees it: as told by the roster, and as learned from its answers. */
final class Backend {
  /**
   * Weight of the newest answer in a backend's failures; in service times, which differ more, half
   * of it.
   */
  static final double NEWEST = 0.2;

  /**
   * A backend failing more of its answers than this, as after three in a row, rests for a growing
   * while.
   */
  private static final double FAILING_SHARE = 0.4, REST_MS = 1_000;

  /** Connects failing without an answer between, as when a backend is down that answered before. */
  private static final int DOWN_AFTER = 3;

  /** How long a backend's measured speed and failures are worth much without a further answer. */
  private static final double LEARNED_LIFE_MS = 3_000;

  /** How long a load report is worth much: others' requests there are mostly answered by then. */
  private static final double REPORT_LIFE_MS = 700;

  private final Context ctx;
  final long id;
  final LinkedHashSet<Job.Attempt> out = new LinkedHashSet<>();
  BackendEntry entry; // as last told
  Phase phase;
  double size = 1, startedMs; // relative to the mean of all; when it started, as taken to be
  Mean zoneFailing, cellFailing; // shared by the backends of a zone, and of a cell
  private double service = Double.NaN, failing;
  private int rests, unreached; // connects that failed since its last answer
  boolean trial, kept = true; // left to one request that tries it; kept to by this gateway
  private double restUntil = Double.NEGATIVE_INFINITY, fullUntil = Double.NEGATIVE_INFINITY;
  private double reported = Double.NaN,
      reportedOwn,
      reportedAt; // requests held, of them from here, when
  double answeredAt,
      coldAt,
      coldEarned,
      coldSpent; // while cold: requests it may get from here, and got

  Backend(Context ctx, long id) {
    this.ctx = ctx;
    this.id = id;
    answeredAt = coldAt = ctx.now;
    double own = ctx.random.nextDouble() / Math.max(1, ctx.settings.gateways());
    coldEarned =
        (0.618034 * ctx.settings.self() + (rank() >>> 11) * 0x1p-53 + own) % 1; // golden ratio
  }

  double toldSize() {
    return ctx.settings.sizesTold() ? Math.max(entry.size(), 1e-6) : 1;
  }

  /**
   * Its place in the order that all gateways share: SplitMix64's finaliser spreads evenly, ever
   * alike.
   */
  long rank() {
    long z = (id ^ (id >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  boolean cold() {
    return startedMs > 0 && ctx.now - startedMs < ctx.settings.rules().coldMs();
  }

  /** The part of its capacity that the rules promise by now. */
  double warmShare() {
    Rules rules = ctx.settings.rules();
    return Math.min(
        1, rules.coldFrom() + (1 - rules.coldFrom()) * (ctx.now - startedMs) / rules.coldMs());
  }

  private double nearFailing() {
    return Math.max(zoneFailing.fresh(ctx.now), cellFailing.fresh(ctx.now));
  }

  boolean open() {
    return phase == Phase.SERVING && ctx.now >= fullUntil;
  }

  /**
   * Whether it is spared after failures of its own or near it, or left to one request that tries
   * it.
   */
  boolean resting(Repeat repeat) {
    return ctx.now < restUntil
        || trial && (!out.isEmpty() || repeat == Repeat.UNSAFE)
        || nearFailing() > FAILING_SHARE;
  }

  /**
   * Requests here from all gateways; a report is trusted less as it ages, so no backend stays
   * shunned.
   */
  private double held() {
    double usual =
        ctx.pressure.outMean.value
            / Math.max(1, ctx.pressure.serving)
            * (ctx.settings.gateways() - 1);
    return out.size()
        + usual
        + (Double.isNaN(reported)
            ? 0
            : Math.exp((reportedAt - ctx.now) / REPORT_LIFE_MS)
                * (Math.max(0, reported - reportedOwn) - usual));
  }

  private double serviceMs() {
    double fleets = ctx.pressure.service;
    return Double.isNaN(service) ? fleets : fleets + remembered() * (service - fleets);
  }

  /**
   * What was learned of a backend fades while it answers nothing. Guards against shunning one after
   * a trouble of any kind that nobody sees end. Harm: a lasting trouble is met again once in a
   * while.
   */
  private double remembered() {
    return Math.exp((answeredAt - ctx.now) / LEARNED_LIFE_MS);
  }

  /**
   * Expected time to an answer: service time by requests held, longer where the oldest is overdue.
   */
  double wait(double aim) {
    double overdue =
        out.isEmpty()
            ? 0
            : Math.max(0, ctx.now - out.iterator().next().sentAt() - 2.5 * ctx.pressure.service);
    double far = entry.zone().equals(ctx.settings.zone()) ? 0 : ctx.settings.crossZonePrice() * aim;
    double w = serviceMs() * (1 + held() / size) + overdue + far;
    return w * (1 + 4 * Math.max(nearFailing(), failing * remembered())) * (trial ? 0.5 : 1);
  }

  void learn(Outcome e, double sentAt, double heldUpMs) {
    Load load = e.load();
    if (load != null && !Double.isNaN(load.inFlight())) {
      reported = load.inFlight();
      reportedOwn = out.size();
      reportedAt = ctx.now;
    }
    boolean bad =
        switch (e.status()) {
          case ERROR, RESET, UNREACHABLE -> true;
          case TIMED_OUT, CANCELLED -> answeredAt <= sentAt && sentAt > ctx.stalls.stalledUntil;
          default -> false;
        };
    boolean ok = e.status() == Status.OK;
    double forget = remembered();
    if (ok || e.status() == Status.ERROR || e.status() == Status.REJECTED) {
      answeredAt = ctx.now;
      unreached = 0;
    }
    if (ok || bad) {
      failing *= forget;
      failing += NEWEST * ((bad ? 1 : 0) - failing);
      zoneFailing.add(bad ? 1 : 0, ctx.now);
      cellFailing.add(bad ? 1 : 0, ctx.now);
    }
    if (ok) {
      trial = false;
      rests = failing < FAILING_SHARE / 4 ? 0 : rests;
      double took =
          load != null && !Double.isNaN(load.serviceMs())
              ? load.serviceMs()
              : e.latencyMs() - heldUpMs;
      service = serviceMs() + NEWEST / 2 * (took - serviceMs());
      ctx.pressure.served(took, ctx.now);
    } else if (e.status() == Status.REJECTED) {
      fullUntil = ctx.now + 2 * ctx.pressure.service;
    } else if (bad) {
      unreached += e.status() == Status.UNREACHABLE ? 1 : 0;
      boolean down = unreached >= DOWN_AFTER || unreached > 0 && Double.isNaN(service);
      startedMs = down ? ctx.now : startedMs; // at the earliest, as it is not up yet
      if (failing > FAILING_SHARE || trial) {
        restUntil =
            ctx.now + REST_MS * (1 << Math.min(rests, 3)) * (1 + 0.3 * ctx.random.nextDouble());
        rests++;
        trial = true;
      }
    }
  }
}
