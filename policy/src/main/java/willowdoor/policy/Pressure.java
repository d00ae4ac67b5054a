package willowdoor.policy;

import willowdoor.policy.GatewayApi.*;

/** The wait for an answer that a request must expect, as this gateway's own attempts tell. */
final class Pressure {
  /**
   * The least promising wait accepted, as shares of the aim, for the least and the most worthy
   * request.
   */
  static final double LOW = 0.25, HIGH = 0.4;

  /** So much less is accepted for a request that no answer of the counter has confirmed. */
  static final double UNCONFIRMED = 0.1;

  /**
   * Weight of the newest answer in the fleet's wait: the last twenty count, or the last few
   * seconds.
   */
  static final double NEWEST = 0.05, LIFE_MS = 4_000;

  /** A backend with fewer requests than this, of all gateways, is not taken to queue. */
  private static final double IDLE_HELD = 3;

  /**
   * So many requests more are taken to be out, now and then: of the few that one of many gateways
   * has out, a change by two or three is chance and tells nothing of the fleet.
   */
  private static final double OUT_UNSURE = 4;

  /** What a backend is taken to need before anything was seen of it, as a share of the mean aim. */
  private static final double UNKNOWN_SERVICE_OF_AIM = 0.1;

  private final int gateways;
  int serving, outNow; // backends that serve; attempts out
  double service, timeOut; // mean service time of all; how long an attempt is out, whatever its end
  final Mean outMean = new Mean(0.3, 1000, 0, 0); // as new requests met them
  private final Mean latencyOfAim = new Mean(NEWEST, LIFE_MS, 0, 0);
  private final Mean outThen = new Mean(NEWEST, LIFE_MS, 0, 0), serviceMean;
  private double okAt = Double.NEGATIVE_INFINITY, meanWorth = Double.NaN, answers, answeredAt;
  double meanUnits = 1; // of requests

  Pressure(Settings settings) {
    gateways = settings.gateways();
    timeOut =
        service =
            UNKNOWN_SERVICE_OF_AIM
                * settings.classes().stream()
                    .mapToDouble(RequestClass::aimMs)
                    .filter(ms -> ms > 0)
                    .average()
                    .orElse(1000);
    serviceMean = new Mean(Backend.NEWEST / 10, LIFE_MS, Double.POSITIVE_INFINITY, service);
  }

  /**
   * Of few answers, those of the last seconds count: a front door's last fifty are of before a
   * release.
   */
  void served(double tookMs, double now) {
    service = serviceMean.add(tookMs, now);
    answers = answersPerS(now) + 1000 / LIFE_MS;
    answeredAt = now;
  }

  double answersPerS(double now) {
    return answers * Math.exp((answeredAt - now) / LIFE_MS);
  }

  void met(double worth, double units, double now) {
    outMean.add(outNow, now);
    meanUnits += (Double.isNaN(meanWorth) ? 1 : 0.01) * (units - meanUnits);
    meanWorth = Double.isNaN(meanWorth) ? worth : meanWorth + 0.01 * (worth - meanWorth);
  }

  /**
   * Whether the fleet is too full for this request to be answered within its aim; worthy ones stay
   * longer. Guards against overload of any cause. Harm: after a stall, the first answers must
   * correct the figure.
   */
  boolean pressed(double worth, double less, double now) {
    double rank = Math.min(1, Math.max(0, worth / Math.max(1e-9, meanWorth) - 0.5));
    return expectedOfAim(now) > LOW + (HIGH - LOW) * rank - less;
  }

  /**
   * Expected wait as a share of the aim: as lately measured, scaled by how many more are out by
   * now.
   */
  double expectedOfAim(double now) {
    double held = gateways / (double) Math.max(1, serving), unsure = OUT_UNSURE * held;
    double more = IDLE_HELD / Math.max(1, serving);
    double ratio =
        (outMean.value * held + unsure + more)
            / (Math.max(outThen.value * held, IDLE_HELD) + unsure + more);
    return latencyOfAim.fresh(now) * ratio;
  }

  /**
   * The time that this gateway itself was held up is not the fleet's. An attempt that timed out
   * while others were answered lost its answer: that tells of no wait. Harm: a few slow backends
   * stay unseen here.
   */
  void ended(Outcome e, double sentAt, double aim, double heldUpMs, double now) {
    outNow--;
    timeOut = Math.max(1, timeOut + Backend.NEWEST / 10 * (now - sentAt - timeOut));
    boolean ok = e.status() == Status.OK, rejected = e.status() == Status.REJECTED;
    boolean silent = e.status() == Status.TIMED_OUT && okAt <= sentAt;
    okAt = ok ? now : okAt;
    if (ok || rejected || silent) {
      double waited = rejected ? 1 : Math.max(service, e.latencyMs() - heldUpMs) / aim;
      latencyOfAim.add(Math.min(2, waited), now);
      outThen.add(outNow, now);
    }
  }
}
