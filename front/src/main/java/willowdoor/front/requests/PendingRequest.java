package willowdoor.front.requests;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.GatewayApi.Status;

/** One request from its taking until it is answered and none of its attempts is out. */
final class PendingRequest {
  final PolicyDriver driver;
  final ParsedRequest parsed;
  final OutgoingRequest message;
  final PolicyDriver.Client client;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** From its last byte on; until that has come, from the moment it was taken. */
  Budget budget;

  Future<?> finalAnswerTimer;
  final int prefixBytes;
  boolean finished;
  int attemptsInFlight;

  /** The attempt whose answer is being passed on as it comes. */
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

  /** Its time begins; it ends with the process at the latest. */
  void startBudget() {
    budget = Budget.of(client.arrivedAt(), parsed.timeoutMs()).cappedAt(driver.processDeadlineMs());
    finalAnswerTimer =
        driver.schedule(budget.finalAnswerDelayMs(driver.now()), () -> driver.failAtDeadline(this));
  }

  /** The process ends: so does the time, unless none runs as a stream is under way. */
  void capBudget() {
    budget = budget.cappedAt(driver.processDeadlineMs());
    if (finalAnswerTimer.cancel(false)) {
      finalAnswerTimer =
          driver.schedule(
              budget.finalAnswerDelayMs(driver.now()), () -> driver.failAtDeadline(this));
    }
  }

  /**
   * Marks the final answer; true for the first caller only. What has not reached a backend whole by
   * now never will, and nothing is kept to be sent again.
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
   * A request stays in the table while an attempt of it is out: the module still gets that outcome.
   */
  void removeIfDone() {
    if (finished && attemptsInFlight == 0) {
      driver.remove(this);
    }
  }
}
