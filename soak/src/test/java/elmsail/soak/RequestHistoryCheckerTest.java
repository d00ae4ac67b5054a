package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class RequestHistoryCheckerTest {
  private final Findings findings = new Findings();
  private final RequestHistoryChecker checker = new RequestHistoryChecker(findings);

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  @Test
  void acceptsAProperHistory() {
    checker.onSend("u", false);
    checker.onRunStarted("u", "m1", 10);
    checker.onResponse("u", 200, "m1", RequestHistoryChecker.expected("u"), 20);
    checker.onSend("s", true);
    checker.onRunStarted("s", "m2", 10);
    checker.onRunStarted("s", "m3", 11);
    checker.onResponse("s", 503, null, "", 20);
    checker.checkAtEnd(30);
    assertThat(broken(), is(empty()));
    assertThat(checker.served(), is(1L));
  }

  @Test
  void findsAnUnsafeRequestThatRanTwice() {
    checker.onSend("u", false);
    checker.onRunStarted("u", "m1", 10);
    checker.onRunStarted("u", "m2", 11);
    assertThat(broken(), contains(Invariant.RUN_ONCE));
  }

  @Test
  void findsARefusedRequestThatRuns() {
    checker.onSend("u", false);
    checker.onResponse("u", 503, null, "", 20);
    checker.onRunStarted("u", "m1", 25);
    checker.checkAtEnd(30);
    assertThat(broken(), contains(Invariant.REQUEST_REFUSED));
  }

  @Test
  void findsAnAnswerThatIsCutShort() {
    checker.onSend("u", false);
    checker.onRunStarted("u", "m1", 10);
    checker.onResponse("u", 200, "m1", RequestHistoryChecker.event("u", 0), 20);
    assertThat(broken(), contains(Invariant.ANSWER_SAME));
  }

  @Test
  void findsAnAnswerOfAnotherRequest() {
    checker.onSend("u", false);
    checker.onRunStarted("u", "m1", 10);
    checker.onResponse("u", 200, "m9", RequestHistoryChecker.expected("u"), 20);
    assertThat(broken(), contains(Invariant.ANSWER_SAME));
  }

  @Test
  void knowsWhatNobodySent() {
    assertThat(checker.onRunStarted("x", "m1", 10), is(false));
  }
}
