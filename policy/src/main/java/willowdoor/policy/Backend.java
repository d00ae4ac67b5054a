package willowdoor.policy;

import java.util.LinkedHashSet;
import willowdoor.policy.GatewayApi.*;

/** One backend as this gateway sees it: as told by the roster, and as learned from its answers. */
final class Backend {
  /**
   * Weight of the newest answer in a backend's failures; in service times, which differ more, half
   * of it.
   */
  static final double SAMPLE_WEIGHT = 0.2;

  /**
   * A backend failing more of its answers than this, as after three in a row, rests for a growing
   * while.
   */
  private static final double MAX_FAILURE_RATE = 0.4, BACKOFF_MS = 1_000;

  /** Connects failing without an answer between, as when a backend is down that answered before. */
  private static final int DOWN_AFTER_FAILED_CONNECTS = 3;

  /** How long a backend's measured speed and failures are worth much without a further answer. */
  private static final double ESTIMATE_DECAY_MS = 3_000;

  /** How long a load report is worth much: others' requests there are mostly answered by then. */
  private static final double REPORT_DECAY_MS = 700;

  private final Context ctx;
  final long id;
  final LinkedHashSet<PendingRequest.Attempt> inFlight = new LinkedHashSet<>();
  BackendEntry entry; // as last told
  Phase phase;
  double relativeCapacity = 1,
      startedMs; // relative to the mean of all; when it started, as taken to be
  MovingAverage zoneFailureRate, cellFailureRate; // shared by the backends of a zone, and of a cell
  private double measuredServiceMs = Double.NaN, failureRate;
  private int backoffs, failedConnects; // connects that failed since its last answer
  boolean probing, inSubset = true; // left to one request that tries it; kept to by this gateway
  private double backoffUntil = Double.NEGATIVE_INFINITY, rejectingUntil = Double.NEGATIVE_INFINITY;
  private double reportedInFlight = Double.NaN,
      ownInFlightAtReport,
      reportedAt; // requests held, of them from here, when
  double lastAnswerAt,
      warmUpCreditedAt,
      warmUpCredits,
      warmUpCreditsUsed; // while cold: requests it may get from here, and got

  Backend(Context ctx, long id) {
    this.ctx = ctx;
    this.id = id;
    lastAnswerAt = warmUpCreditedAt = ctx.now;
    double jitter = ctx.random.nextDouble() / Math.max(1, ctx.settings.gateways());
    warmUpCredits =
        (0.618034 * ctx.settings.selfIndex() + (ringHash() >>> 11) * 0x1p-53 + jitter)
            % 1; // golden ratio
  }

  double reportedCapacity() {
    return ctx.settings.capacityHints() ? Math.max(entry.capacity(), 1e-6) : 1;
  }

  /**
   * Its place in the order that all gateways share: SplitMix64's finaliser spreads evenly, ever
   * alike.
   */
  long ringHash() {
    long z = (id ^ (id >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  boolean isWarmingUp() {
    return startedMs > 0 && ctx.now - startedMs < ctx.settings.rules().warmUpMs();
  }

  /** The part of its capacity that the rules promise by now. */
  double warmUpShare() {
    Rules rules = ctx.settings.rules();
    return Math.min(
        1,
        rules.warmUpStartShare()
            + (1 - rules.warmUpStartShare()) * (ctx.now - startedMs) / rules.warmUpMs());
  }

  private double groupFailureRate() {
    return Math.max(zoneFailureRate.decayed(ctx.now), cellFailureRate.decayed(ctx.now));
  }

  boolean isAvailable() {
    return phase == Phase.SERVING && ctx.now >= rejectingUntil;
  }

  /**
   * Whether it is spared after failures of its own or near it, or left to one request that tries
   * it.
   */
  boolean isBackingOff(RetrySafety retrySafety) {
    return ctx.now < backoffUntil
        || probing && (!inFlight.isEmpty() || retrySafety == RetrySafety.UNSAFE)
        || groupFailureRate() > MAX_FAILURE_RATE;
  }

  /**
   * Requests here from all gateways; a report is trusted less as it ages, so no backend stays
   * shunned.
   */
  private double estimatedInFlight() {
    double meanOfOthers =
        ctx.load.meanInFlight.value
            / Math.max(1, ctx.load.servingBackends)
            * (ctx.settings.gateways() - 1);
    return inFlight.size()
        + meanOfOthers
        + (Double.isNaN(reportedInFlight)
            ? 0
            : Math.exp((reportedAt - ctx.now) / REPORT_DECAY_MS)
                * (Math.max(0, reportedInFlight - ownInFlightAtReport) - meanOfOthers));
  }

  private double serviceMs() {
    double fleetMean = ctx.load.serviceMs;
    return Double.isNaN(measuredServiceMs)
        ? fleetMean
        : fleetMean + estimateWeight() * (measuredServiceMs - fleetMean);
  }

  /**
   * What was learned of a backend fades while it answers nothing. Guards against shunning one after
   * a trouble of any kind that nobody sees end. Harm: a lasting trouble is met again once in a
   * while.
   */
  private double estimateWeight() {
    return Math.exp((lastAnswerAt - ctx.now) / ESTIMATE_DECAY_MS);
  }

  /**
   * Expected time to an answer: service time by requests held, longer where the oldest is overdue.
   */
  double expectedWaitMs(double objectiveMs) {
    double overdueMs =
        inFlight.isEmpty()
            ? 0
            : Math.max(0, ctx.now - inFlight.iterator().next().sentAt() - 2.5 * ctx.load.serviceMs);
    double crossZoneMs =
        entry.zone().equals(ctx.settings.zone()) ? 0 : ctx.settings.crossZoneCost() * objectiveMs;
    double waitMs =
        serviceMs() * (1 + estimatedInFlight() / relativeCapacity) + overdueMs + crossZoneMs;
    return waitMs
        * (1 + 4 * Math.max(groupFailureRate(), failureRate * estimateWeight()))
        * (probing ? 0.5 : 1);
  }

  void onOutcome(Outcome outcome, double sentAt, double pauseMs) {
    Load load = outcome.load();
    if (load != null && !Double.isNaN(load.inFlight())) {
      reportedInFlight = load.inFlight();
      ownInFlightAtReport = inFlight.size();
      reportedAt = ctx.now;
    }
    boolean failed =
        switch (outcome.status()) {
          case ERROR, RESET, UNREACHABLE -> true;
          case TIMED_OUT, CANCELLED ->
              lastAnswerAt <= sentAt && sentAt > ctx.stallDetector.stalledUntil;
          default -> false;
        };
    boolean ok = outcome.status() == Status.OK;
    double weight = estimateWeight();
    if (ok || outcome.status() == Status.ERROR || outcome.status() == Status.REJECTED) {
      lastAnswerAt = ctx.now;
      failedConnects = 0;
    }
    if (ok || failed) {
      failureRate *= weight;
      failureRate += SAMPLE_WEIGHT * ((failed ? 1 : 0) - failureRate);
      zoneFailureRate.add(failed ? 1 : 0, ctx.now);
      cellFailureRate.add(failed ? 1 : 0, ctx.now);
    }
    if (ok) {
      probing = false;
      backoffs = failureRate < MAX_FAILURE_RATE / 4 ? 0 : backoffs;
      double tookMs =
          load != null && !Double.isNaN(load.serviceMs())
              ? load.serviceMs()
              : outcome.latencyMs() - pauseMs;
      measuredServiceMs = serviceMs() + SAMPLE_WEIGHT / 2 * (tookMs - serviceMs());
      ctx.load.onAnswer(tookMs, ctx.now);
    } else if (outcome.status() == Status.REJECTED) {
      rejectingUntil = ctx.now + 2 * ctx.load.serviceMs;
    } else if (failed) {
      failedConnects += outcome.status() == Status.UNREACHABLE ? 1 : 0;
      boolean down =
          failedConnects >= DOWN_AFTER_FAILED_CONNECTS
              || failedConnects > 0 && Double.isNaN(measuredServiceMs);
      startedMs = down ? ctx.now : startedMs; // at the earliest, as it is not up yet
      if (failureRate > MAX_FAILURE_RATE || probing) {
        backoffUntil =
            ctx.now
                + BACKOFF_MS * (1 << Math.min(backoffs, 3)) * (1 + 0.3 * ctx.random.nextDouble());
        backoffs++;
        probing = true;
      }
    }
  }
}
