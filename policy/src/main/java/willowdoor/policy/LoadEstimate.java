package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** The wait for an answer that a request must expect, as this gateway's own attempts tell. */
final class LoadEstimate {
  /**
   * The least promising wait accepted, as shares of the aim, for the least and the most worthy
   * request.
   */
  static final double MAX_WAIT_LOW_VALUE = 0.25, MAX_WAIT_HIGH_VALUE = 0.4;

  /** So much less is accepted for a request that no answer of the counter has confirmed. */
  static final double UNCONFIRMED_MARGIN = 0.1;

  /**
   * Weight of the newest answer in the fleet's wait: the last twenty count, or the last few
   * seconds.
   */
  static final double SAMPLE_WEIGHT = 0.05, DECAY_MS = 4_000;

  /** A backend with fewer requests than this, of all gateways, is not taken to queue. */
  private static final double IDLE_IN_FLIGHT = 3;

  /**
   * So many requests more are taken to be out, now and then: of the few that one of many gateways
   * has out, a change by two or three is chance and tells nothing of the fleet.
   */
  private static final double IN_FLIGHT_NOISE = 4;

  /** What a backend is taken to need before anything was seen of it, as a share of the mean aim. */
  private static final double INITIAL_SERVICE_SHARE = 0.1;

  private final int gateways;
  int servingBackends, inFlight; // backends that serve; attempts out
  double serviceMs,
      attemptMs; // mean service time of all; how long an attempt is out, whatever its end
  final MovingAverage meanInFlight = new MovingAverage(0.3, 1000, 0, 0); // as new requests met them
  private final MovingAverage relativeLatency = new MovingAverage(SAMPLE_WEIGHT, DECAY_MS, 0, 0);
  private final MovingAverage inFlightAtAnswer = new MovingAverage(SAMPLE_WEIGHT, DECAY_MS, 0, 0),
      serviceAverage;
  private double lastOkAt = Double.NEGATIVE_INFINITY,
      meanValue = Double.NaN,
      answerRate,
      lastAnswerAt;
  double meanUnits = 1; // of requests

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
   * Of few answers, those of the last seconds count: a front door's last fifty are of before a
   * release.
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
   * Whether the fleet is too full for this request to be answered within its aim; worthy ones stay
   * longer. Guards against overload of any cause. Harm: after a stall, the first answers must
   * correct the figure.
   */
  boolean isOverloaded(double value, double margin, double now) {
    double rank = Math.min(1, Math.max(0, value / Math.max(1e-9, meanValue) - 0.5));
    return expectedWaitShare(now)
        > MAX_WAIT_LOW_VALUE + (MAX_WAIT_HIGH_VALUE - MAX_WAIT_LOW_VALUE) * rank - margin;
  }

  /**
   * Expected wait as a share of the aim: as lately measured, scaled by how many more are out by
   * now.
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
   * The time that this gateway itself was held up is not the fleet's. An attempt that timed out
   * while others were answered lost its answer: that tells of no wait. Harm: a few slow backends
   * stay unseen here.
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
