package elmsail.gateway.servers;

/**
 * The load that a server last reported in a response, {@code RUNNING,WAITING,SLOTS}. The weight of
 * a report decreases with its age. Pure; times in ms on the event loop's clock.
 */
final class ReportedLoad {
  /** Age at which the reported number of running requests has half its weight. */
  private static final double RUNNING_HALF_LIFE_MS = 700;

  /** The same for queued requests: a queue of prompts drains faster. */
  private static final double QUEUED_HALF_LIFE_MS = 200;

  /** Maximum age of a report from which free slots are inferred. */
  private static final long IDLE_REPORT_VALID_MS = 1_000;

  /**
   * Share of occupied slots below which a server is assumed to have a free slot for each new
   * request.
   */
  private static final double MAX_IDLE_UTILIZATION = 0.5;

  private boolean isKnown;
  private long reportedAt;
  private int running;
  private int queued;
  private int ownOpenAtReport;

  /**
   * Records the value of a load header. A header with too few fields is ignored; after one with a
   * malformed number the load counts as unknown.
   *
   * @param ownOpen this gateway's open requests at the server
   */
  void update(String value, int ownOpen, long now) {
    int first = value.indexOf(',');
    int second = value.indexOf(',', first + 1);
    if (first <= 0 || second < 0) {
      return;
    }
    try {
      running = Integer.parseInt(value.substring(0, first).trim());
      queued = Integer.parseInt(value.substring(first + 1, second).trim());
      reportedAt = now;
      ownOpenAtReport = ownOpen;
      isKnown = true;
    } catch (NumberFormatException e) {
      isKnown = false;
    }
  }

  /** Whether the load is known from a report. */
  boolean isKnown() {
    return isKnown;
  }

  /** Estimate of the running requests, at least this gateway's own. */
  double running(int ownOpen, long now) {
    double current = Math.max(0, running + ownOpen - ownOpenAtReport);
    return Math.max(ownOpen, current * weight(now, RUNNING_HALF_LIFE_MS));
  }

  /** Estimate of the queued requests. */
  double queued(long now) {
    return queued * weight(now, QUEUED_HALF_LIFE_MS);
  }

  /** Whether a recent report says that nothing is queued and many slots are free. */
  boolean isIdle(int maxConcurrency, long now) {
    return isKnown
        && now - reportedAt <= IDLE_REPORT_VALID_MS
        && queued == 0
        && running < maxConcurrency * MAX_IDLE_UTILIZATION;
  }

  private double weight(long now, double halfLifeMs) {
    return halfLifeMs / (halfLifeMs + now - reportedAt);
  }
}
