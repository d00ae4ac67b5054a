package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.config.Route;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.servers.SelectionMode;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final long ENOUGH_MS = 1_000;
  private static final Route IDEMPOTENT = route(Route.Kind.SAFE, 3);
  private static final Route UNSAFE = route(Route.Kind.UNSAFE, 3);

  private static Route route(Route.Kind kind, int maxAttempts) {
    FakeClusterState clusterState = new FakeClusterState();
    clusterState.addRoute("r", kind, maxAttempts, false);
    return clusterState.routeByName("r");
  }

  @Test
  void isExhaustedAfterTheRoutesMaximumOfSentAttempts() {
    assertThat(RetryPolicy.isExhausted(IDEMPOTENT, 2, 0, true, ENOUGH_MS), is(false));
    assertThat(RetryPolicy.isExhausted(IDEMPOTENT, 3, 0, true, ENOUGH_MS), is(true));
  }

  @Test
  void oneAttemptIsAllowedIfMaxAttemptsIsZero() {
    Route none = route(Route.Kind.SAFE, 0);
    assertThat(RetryPolicy.isExhausted(none, 0, 0, false, ENOUGH_MS), is(false));
    assertThat(RetryPolicy.isExhausted(none, 1, 0, false, ENOUGH_MS), is(true));
  }

  @Test
  void attemptsThatWereNotSentHaveTheirOwnLimit() {
    assertThat(RetryPolicy.isExhausted(UNSAFE, 0, 5, false, ENOUGH_MS), is(false));
    assertThat(RetryPolicy.isExhausted(UNSAFE, 0, 6, false, ENOUGH_MS), is(true));
  }

  @Test
  void attemptThatMayHaveRunIsRepeatedOnIdempotentRoutesOnly() {
    assertThat(RetryPolicy.isExhausted(UNSAFE, 1, 0, false, ENOUGH_MS), is(false));
    assertThat(RetryPolicy.isExhausted(UNSAFE, 1, 0, true, ENOUGH_MS), is(true));
    assertThat(RetryPolicy.isExhausted(IDEMPOTENT, 1, 0, true, ENOUGH_MS), is(false));
  }

  @Test
  void noAttemptStartsInTheLastMilliseconds() {
    assertThat(RetryPolicy.isExhausted(IDEMPOTENT, 0, 0, false, 5), is(false));
    assertThat(RetryPolicy.isExhausted(IDEMPOTENT, 0, 0, false, 4), is(true));
    assertThat(RetryPolicy.allowsErrorRetry(IDEMPOTENT, 5), is(true));
    assertThat(RetryPolicy.allowsErrorRetry(IDEMPOTENT, 4), is(false));
    assertThat(RetryPolicy.allowsErrorRetry(UNSAFE, ENOUGH_MS), is(false));
  }

  @Test
  void halfOpenServersAreProbedByRetryableRequestsOnly() {
    assertThat(
        RetryPolicy.selectionMode(IDEMPOTENT, 1, false, false), is(SelectionMode.PROBE_PREFERRED));
    assertThat(
        RetryPolicy.selectionMode(IDEMPOTENT, 2, false, false), is(SelectionMode.NOT_RETRYABLE));
    assertThat(
        RetryPolicy.selectionMode(IDEMPOTENT, 1, false, true), is(SelectionMode.NOT_RETRYABLE));
    assertThat(RetryPolicy.selectionMode(UNSAFE, 0, false, false), is(SelectionMode.NOT_RETRYABLE));
    assertThat(RetryPolicy.selectionMode(IDEMPOTENT, 1, true, true), is(SelectionMode.AFTER_ERROR));
  }
}
