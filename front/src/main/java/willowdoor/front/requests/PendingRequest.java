package willowdoor.front.requests;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.GatewayApi.Status;

/** One request, from its submission until it is answered and none of its attempts is in flight. */
final class PendingRequest {
  final PolicyDriver driver;
  final ParsedRequest parsed;
  final OutgoingRequest message;
  final PolicyDriver.Client client;
  final List<Attempt> attempts = new ArrayList<>(1);

  /**
   * Counted from the arrival of the request's last byte; until that has arrived, from the
   * submission.
   */
  Budget budget;

  Future<?> finalAnswerTimer;
  final int prefixBytes;
  boolean finished;
  int attemptsInFlight;

  /** The attempt whose response is being streamed to the client, or null. */
  Attempt streamingAttempt;

  PendingRequest(
      PolicyDriver driver,
      ParsedRequest parsed,
      OutgoingRequest message,
      PolicyDriver.Client client) {
    this.driver = driver;
    this.parsed = parsed;
    this.message = message;
    this.client = client;
    prefixBytes = message.prefixBytes();
  }

  /** Starts the request's time budget, which ends no later than the process. */
  void startBudget() {
    budget = Budget.of(client.arrivedAt(), parsed.timeoutMs()).cappedAt(driver.processDeadlineMs());
    finalAnswerTimer =
        driver.schedule(budget.finalAnswerDelayMs(driver.now()), () -> driver.failAtDeadline(this));
  }

  /**
   * Ends the budget no later than the process. The final-answer timer is restarted only if it was
   * running; it does not run while a body or a response is streamed.
   */
  void capBudget() {
    budget = budget.cappedAt(driver.processDeadlineMs());
    if (finalAnswerTimer.cancel(false)) {
      finalAnswerTimer =
          driver.schedule(
              budget.finalAnswerDelayMs(driver.now()), () -> driver.failAtDeadline(this));
    }
  }

  /**
   * Marks the request as answered. Returns true for the first call only. Attempts whose last byte
   * has not been written are abandoned, and the kept prefix is released, so that no further attempt
   * can begin.
   */
  boolean finish() {
    if (finished) {
      return false;
    }
    finished = true;
    finalAnswerTimer.cancel(false);
    for (int i = 0; i < attempts.size(); i++) {
      if (!attempts.get(i).written()) {
        attempts.get(i).abandon(Status.NOT_SENT);
      }
    }
    driver.releaseBytes(prefixBytes);
    message.release();
    return true;
  }

  /**
   * Removes the request from the table once it is answered and no attempt is in flight. Until then
   * the request stays, because the policy must still get the attempts' outcomes.
   */
  void removeIfDone() {
    if (finished && attemptsInFlight == 0) {
      driver.remove(this);
    }
  }
}
