package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuotaHistoryCheckerTest {
  private static final String ROUTE = "limited";
  private static final long LIMIT = 1_000;
  private static final String MACHINE = "counter-1";

  private final Findings findings = new Findings();
  private final FaultHistory faults = new FaultHistory();
  private final QuotaHistoryChecker checker =
      new QuotaHistoryChecker(findings, faults, Map.of(ROUTE, LIMIT));

  private SubmittedJob job(String id, long tokens) {
    SubmittedJob job =
        new SubmittedJob(
            id, ROUTE, List.of(new SubmittedJob.Item("i-" + id, "/l/i", "body", tokens)));
    checker.onSubmit(job);
    return job;
  }

  private void tried(String job, long atMs, int status) {
    checker.onSubmitAttempt(job, MACHINE, atMs - 10, atMs, status);
  }

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  @Test
  void findsMoreTokensWaitingThanMay() {
    job("a", 600);
    job("b", 500);
    job("c", 10);
    tried("a", 100, 202);
    tried("b", 200, 202);
    assertThat(broken(), is(empty()));
    tried("c", 300, 202);
    assertThat(broken(), contains(Invariant.QUOTA_KEPT));
  }

  @Test
  void doneAndCancelledItemsDoNotWait() {
    SubmittedJob one = job("a", 600);
    job("b", 500);
    job("c", 600);
    job("d", 900);
    tried("a", 100, 202);
    checker.onReleased(one, "i-a", 150);
    tried("b", 200, 202);
    checker.onCancelRequested("b", 250);
    tried("c", 300, 202);
    assertThat(broken(), is(empty()));
    tried("d", 400, 202);
    assertThat(broken(), contains(Invariant.QUOTA_KEPT));
  }

  @Test
  void findsAFittingJobThatIsRejectedAtEveryAttempt() {
    job("a", 600);
    job("b", 400);
    tried("a", 10_000, 202);
    tried("b", 12_000, 429);
    tried("b", 12_500, 429);
    checker.checkAtEnd();
    assertThat(broken(), contains(Invariant.FITTING_ACCEPTED));
  }

  @Test
  void aJobThatDidNotFitMayBeRefused() {
    SubmittedJob one = job("a", 601);
    job("b", 400);
    tried("a", 10_000, 202);
    tried("b", 12_000, 429);
    checker.onReleased(one, "i-a", 12_000 - 10 - Bounds.SETTLE_MS + 1);
    checker.checkAtEnd();
    assertThat(broken(), is(empty()));
  }

  @Test
  void tokensAreFreeAWhileAfterTheirItemIsDone() {
    SubmittedJob one = job("a", 601);
    job("b", 400);
    tried("a", 10_000, 202);
    checker.onReleased(one, "i-a", 12_000 - 10 - Bounds.SETTLE_MS);
    tried("b", 12_000, 429);
    checker.checkAtEnd();
    assertThat(broken(), contains(Invariant.FITTING_ACCEPTED));
  }

  @Test
  void anEndedJobIsFreeOnceItsEndIsAcknowledged() {
    job("a", 900);
    job("b", 400);
    job("c", 400);
    tried("a", 10_000, 202);
    checker.onCancelRequested("a", 10_100);
    tried("b", 11_500, 429);
    checker.checkAtEnd();
    assertThat(broken(), is(empty()));
    checker.onCancelled("a", 11_600);
    tried("c", 11_600 + Bounds.SETTLE_MS + 20, 429);
    checker.checkAtEnd();
    assertThat(broken(), contains(Invariant.FITTING_ACCEPTED));
  }

  @Test
  void jobWithAnUnknownOutcomeMayWait() {
    job("a", 700);
    job("b", 400);
    tried("a", 10_000, 0);
    tried("b", 12_000, 429);
    checker.checkAtEnd();
    assertThat(broken(), is(empty()));
  }

  @Test
  void oneRefusalAmongOtherAnswersIsNoFault() {
    job("b", 400);
    tried("b", 12_000, 429);
    tried("b", 12_500, 503);
    checker.checkAtEnd();
    assertThat(broken(), is(empty()));
  }

  @Test
  void aMachineOutOfTouchMayRefuse() {
    job("b", 400);
    faults.begin(Set.of(MACHINE), false, 11_000);
    tried("b", 12_000, 429);
    checker.checkAtEnd();
    assertThat(broken(), is(empty()));
  }
}
