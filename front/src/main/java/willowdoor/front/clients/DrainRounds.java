package willowdoor.front.clients;

/**
 * Decides which rounds of a drain act. A round closes connections that seem to have no request.
 * After a pause of this process, requests may have arrived that are not read yet, so the first
 * round after a pause closes nothing: those requests are accepted and read before the next round.
 * At least one of two consecutive rounds acts, however busy the process is.
 */
final class DrainRounds {

  /** Rounds are 10 ms apart; a longer gap than this counts as a pause. */
  private static final double STALL_MS = 30;

  private double lastRoundMs = Double.NEGATIVE_INFINITY;
  private boolean skipped;

  /** Whether the present round acts. Called once per round, with the time in milliseconds. */
  boolean shouldAct(double now) {
    skipped = !skipped && now - lastRoundMs > STALL_MS;
    lastRoundMs = now;
    return !skipped;
  }
}
