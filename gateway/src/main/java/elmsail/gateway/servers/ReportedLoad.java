package elmsail.gateway.servers;

/**
 * The load that a server told last in its answers, {@code RUNNING,WAITING,SLOTS}. What it says
 * counts less the older it is. Pure; times in ms of the steady clock.
 */
final class ReportedLoad {
  /** A told number of running requests counts half as much after so long. */
  private static final double RUNNING_HALF_LIFE_MS = 700;

  /** Likewise of waiting ones: a queue of prompts passes faster. */
  private static final double QUEUED_HALF_LIFE_MS = 200;

  /** A load that was told longer ago says nothing of free places. */
  private static final long IDLE_REPORT_VALID_MS = 1_000;

  /** With less than this share of its places taken it has some free for all that come. */
  private static final double MAX_IDLE_UTILIZATION = 0.5;

  private boolean isKnown;
  private long reportedAt;
  private int running;
  private int queued;
  private int ownOpenAtReport;

  /**
   * Takes a header's value while so many requests of this gateway are open; nonsense is no load.
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

  /** Whether there is one. */
  boolean isKnown() {
    return isKnown;
  }

  /** Estimate of the requests that run, at least this gateway's own. */
  double running(int ownOpen, long now) {
    double current = Math.max(0, running + ownOpen - ownOpenAtReport);
    return Math.max(ownOpen, current * weight(now, RUNNING_HALF_LIFE_MS));
  }

  /** Estimate of the requests that wait. */
  double queued(long now) {
    return queued * weight(now, QUEUED_HALF_LIFE_MS);
  }

  /** Whether it said just now that nothing waits there and that it has many places free. */
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
