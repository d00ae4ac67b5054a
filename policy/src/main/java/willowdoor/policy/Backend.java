package willowdoor.policy;

import java.util.LinkedHashSet;
import willowdoor.policy.GatewayApi.*;

/**
 * One backend as seen by this gateway: its entry in the backend list, and estimates from its
 * responses.
 */
final class Backend {
  /**
   * Weight of the newest response in a backend's failure rate. Service times vary more and use half
   * of it.
   */
  static final double SAMPLE_WEIGHT = 0.2;

  /**
   * Above this failure rate, as after three failures in a row, the backend is backed off for an
   * increasing time.
   */
  private static final double MAX_FAILURE_RATE = 0.4, BACKOFF_MS = 1_000;

  /**
   * Failed connects in a row, without a response between, after which a backend that responded
   * before counts as down.
   */
  private static final int DOWN_AFTER_FAILED_CONNECTS = 3;

  /**
   * Decay time of a backend's measured service time and failure rate while it sends no response.
   */
  private static final double ESTIMATE_DECAY_MS = 3_000;

  /**
   * Decay time of a load report: most of the reported requests of other gateways are answered by
   * then.
   */
  private static final double REPORT_DECAY_MS = 700;

  private final Context ctx;
  final long id;
  final LinkedHashSet<PendingRequest.Attempt> inFlight = new LinkedHashSet<>();
  BackendEntry entry;
  Phase phase;

  /** Capacity relative to the mean of all backends, and the assumed start time. */
  double relativeCapacity = 1, startedMs;

  /** Shared by the backends of a zone, and of a cell. */
  MovingAverage zoneFailureRate, cellFailureRate;

  private double measuredServiceMs = Double.NaN, failureRate;

  /** Consecutive backoffs, and failed connects since the last response. */
  private int backoffs, failedConnects;

  /**
   * Whether only one request at a time may try the backend, and whether it is in this gateway's
   * subset.
   */
  boolean probing, inSubset = true;

  private double backoffUntil = Double.NEGATIVE_INFINITY, rejectingUntil = Double.NEGATIVE_INFINITY;

  /**
   * Requests at the backend by its last load report, those of this gateway among them, and the time
   * of the report.
   */
  private double reportedInFlight = Double.NaN, ownInFlightAtReport, reportedAt;

  /**
   * Time of the last response; during warm-up, the requests that this gateway may send, as of a
   * time, and those it has sent.
   */
  double lastAnswerAt, warmUpCreditedAt, warmUpCredits, warmUpCreditsUsed;

  Backend(Context ctx, long id) {
    this.ctx = ctx;
    this.id = id;
    lastAnswerAt = warmUpCreditedAt = ctx.now;
    double jitter = ctx.random.nextDouble() / Math.max(1, ctx.settings.gateways());
    warmUpCredits =
        (0.618034 * ctx.settings.selfIndex() + (ringHash() >>> 11) * 0x1p-53 + jitter)
            % 1; // multiples of the golden ratio spread the gateways' phases evenly
  }

  double reportedCapacity() {
    return ctx.settings.capacityHints() ? Math.max(entry.capacity(), 1e-6) : 1;
  }

  /**
   * Position of the backend in the order that all gateways share: the finalizer of SplitMix64,
   * which is evenly distributed and the same at every gateway.
   */
  long ringHash() {
    long hash = (id ^ (id >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    return hash ^ (hash >>> 31);
  }

  boolean isWarmingUp() {
    return startedMs > 0 && ctx.now - startedMs < ctx.settings.rules().warmUpMs();
  }

  /** The share of its full capacity that the backend has by now under the warm-up rules. */
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
   * Whether the backend gets no request now, because it or its zone or cell failed, or because a
   * probe is in flight or this request must not be the probe.
   */
  boolean isBackingOff(RetrySafety retrySafety) {
    return ctx.now < backoffUntil
        || probing && (!inFlight.isEmpty() || retrySafety == RetrySafety.UNSAFE)
        || groupFailureRate() > MAX_FAILURE_RATE;
  }

  /**
   * Estimated requests of all gateways at this backend. The weight of a load report decays, so that
   * an old report does not keep requests away for good.
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
   * Weight of the estimates, which decays while the backend sends no response. Otherwise a backend
   * would be avoided for good if the end of its fault is not observed. Cost: a lasting fault is met
   * again now and then.
   */
  private double estimateWeight() {
    return Math.exp((lastAnswerAt - ctx.now) / ESTIMATE_DECAY_MS);
  }

  /**
   * Expected time to a response: service time multiplied by the requests at the backend, longer if
   * the oldest request is overdue.
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
      startedMs = down ? ctx.now : startedMs; // it is not up yet, so it starts now at the earliest
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
