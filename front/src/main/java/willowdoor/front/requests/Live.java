package willowdoor.front.requests;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.GatewayApi.Status;

/** One request from its taking until it is answered and none of its attempts is out. */
final class Live {
  final ModuleDriver driver;
  final Asked asked;
  final Outgoing message;
  final ModuleDriver.Client client;
  final List<Attempt> attempts = new ArrayList<>(1);

  /** From its last byte on; until that has come, from the moment it was taken. */
  Budget budget;

  Future<?> lastCall;
  final int held;
  boolean finished;
  int out;

  /** The attempt whose answer is being passed on as it comes. */
  Attempt begun;

  Live(ModuleDriver driver, Asked asked, Outgoing message, ModuleDriver.Client client) {
    this.driver = driver;
    this.asked = asked;
    this.message = message;
    this.client = client;
    held = message.held();
  }

  /** Its time begins; it ends with the process at the latest. */
  void begins() {
    budget = Budget.of(client.cameAt(), asked.timeoutMs()).cutAt(driver.processEndsAt());
    lastCall = driver.after(budget.lastCallMs(driver.now()), () -> driver.lastCall(this));
  }

  /** The process ends: so does the time, unless none runs as a stream is under way. */
  void cut() {
    budget = budget.cutAt(driver.processEndsAt());
    if (lastCall.cancel(false)) {
      lastCall = driver.after(budget.lastCallMs(driver.now()), () -> driver.lastCall(this));
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
    lastCall.cancel(false);
    for (int i = 0; i < attempts.size(); i++) {
      if (!attempts.get(i).written()) {
        attempts.get(i).abandon(Status.NOT_SENT);
      }
    }
    driver.freed(held);
    message.release();
    return true;
  }

  /**
   * A request stays in the table while an attempt of it is out: the module still gets that outcome.
   */
  void forgetIfDone() {
    if (finished && out == 0) {
      driver.forget(this);
    }
  }
}
