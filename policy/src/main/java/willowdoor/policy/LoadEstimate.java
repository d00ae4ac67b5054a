package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/**
 * Estimates the wait for a response that a request must expect, from this gateway's own attempts.
 */
final class LoadEstimate {
  /**
   * The longest expected wait accepted, as a share of the latency objective, for the requests with
   * the lowest and the highest value.
   */
  static final double MAX_WAIT_LOW_VALUE = 0.25, MAX_WAIT_HIGH_VALUE = 0.4;

  /**
   * The accepted wait is shorter by this share of the objective for a request that the counter has
   * not confirmed.
   */
  static final double UNCONFIRMED_MARGIN = 0.1;

  /**
   * Weight of the newest response in the expected wait, and its decay time: the average covers the
   * last twenty responses or the last few seconds.
   */
  static final double SAMPLE_WEIGHT = 0.05, DECAY_MS = 4_000;

  /** A backend with fewer requests than this, from all gateways, is assumed to have no queue. */
  private static final double IDLE_IN_FLIGHT = 3;

  /**
   * Requests added to both sides of the ratio of current to earlier in-flight requests. One of many
   * gateways has few in flight, so a change by two or three is random and says nothing about the
   * fleet.
   */
  private static final double IN_FLIGHT_NOISE = 4;

  /**
   * Assumed service time before the first measurement, as a share of the mean latency objective.
   */
  private static final double INITIAL_SERVICE_SHARE = 0.1;

  private final int gateways;

  /** Number of serving backends, and of this gateway's attempts in flight. */
  int servingBackends, inFlight;

  /** Mean service time of all backends, and mean duration of an attempt with any outcome. */
  double serviceMs, attemptMs;

  /** Attempts in flight at the arrival of requests. */
  final MovingAverage meanInFlight = new MovingAverage(0.3, 1000, 0, 0);

  private final MovingAverage relativeLatency = new MovingAverage(SAMPLE_WEIGHT, DECAY_MS, 0, 0);
  private final MovingAverage inFlightAtAnswer = new MovingAverage(SAMPLE_WEIGHT, DECAY_MS, 0, 0),
      serviceAverage;
  private double lastOkAt = Double.NEGATIVE_INFINITY,
      meanValue = Double.NaN,
      answerRate,
      lastAnswerAt;

  /** Mean units of a request. */
  double meanUnits = 1;

  LoadEstimate(Settings settings) {
    gateways = settings.gateways();
    attemptMs =
        serviceMs =
            INITIAL_SERVICE_SHARE
                * settings.classes().stream()
                    .mapToDouble(RequestClass::objectiveMs)
                    .filter(ms -> ms > 0)
                    .average()
                    .orElse(1000);
    serviceAverage =
        new MovingAverage(
            Backend.SAMPLE_WEIGHT / 10, DECAY_MS, Double.POSITIVE_INFINITY, serviceMs);
  }

  /**
   * Records a service time. If responses are rare, only those of the last seconds count: the last
   * fifty responses at one gateway may be from before a release.
   */
  void onAnswer(double tookMs, double now) {
    serviceMs = serviceAverage.add(tookMs, now);
    answerRate = answersPerSecond(now) + 1000 / DECAY_MS;
    lastAnswerAt = now;
  }

  double answersPerSecond(double now) {
    return answerRate * Math.exp((lastAnswerAt - now) / DECAY_MS);
  }

  void onRequest(double value, double units, double now) {
    meanInFlight.add(inFlight, now);
    meanUnits += (Double.isNaN(meanValue) ? 1 : 0.01) * (units - meanUnits);
    meanValue = Double.isNaN(meanValue) ? value : meanValue + 0.01 * (value - meanValue);
  }

  /**
   * Whether the load is too high for a response within the latency objective; requests of high
   * value are admitted at a higher load. Covers overload of any cause. Cost: after a stall, the
   * estimate is too high until the first responses correct it.
   */
  boolean isOverloaded(double value, double margin, double now) {
    double rank = Math.min(1, Math.max(0, value / Math.max(1e-9, meanValue) - 0.5));
    return expectedWaitShare(now)
        > MAX_WAIT_LOW_VALUE + (MAX_WAIT_HIGH_VALUE - MAX_WAIT_LOW_VALUE) * rank - margin;
  }

  /**
   * Expected wait as a share of the latency objective: the recently measured one, scaled by the
   * change in in-flight requests since then.
   */
  double expectedWaitShare(double now) {
    double gatewaysPerBackend = gateways / (double) Math.max(1, servingBackends),
        noise = IN_FLIGHT_NOISE * gatewaysPerBackend;
    double idleMargin = IDLE_IN_FLIGHT / Math.max(1, servingBackends);
    double ratio =
        (meanInFlight.value * gatewaysPerBackend + noise + idleMargin)
            / (Math.max(inFlightAtAnswer.value * gatewaysPerBackend, IDLE_IN_FLIGHT)
                + noise
                + idleMargin);
    return relativeLatency.decayed(now) * ratio;
  }

  /**
   * Updates the estimate with the outcome of an attempt. Pauses of this gateway itself are
   * subtracted. An attempt that timed out while others were answered lost its response and is no
   * measure of the wait. Cost: a few slow backends go unnoticed here.
   */
  void onOutcome(Outcome outcome, double sentAt, double objectiveMs, double pauseMs, double now) {
    inFlight--;
    attemptMs = Math.max(1, attemptMs + Backend.SAMPLE_WEIGHT / 10 * (now - sentAt - attemptMs));
    boolean ok = outcome.status() == Status.OK, rejected = outcome.status() == Status.REJECTED;
    boolean unanswered = outcome.status() == Status.TIMED_OUT && lastOkAt <= sentAt;
    lastOkAt = ok ? now : lastOkAt;
    if (ok || rejected || unanswered) {
      double waitShare =
          rejected ? 1 : Math.max(serviceMs, outcome.latencyMs() - pauseMs) / objectiveMs;
      relativeLatency.add(Math.min(2, waitShare), now);
      inFlightAtAnswer.add(inFlight, now);
    }
  }
}
