package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class RequestAccountTest {
  private final Findings findings = new Findings();
  private final RequestAccount account = new RequestAccount(findings);

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  @Test
  void aProperStoryBreaksNothing() {
    account.sending("u", false);
    account.reached("u", "m1", 10);
    account.answered("u", 200, "m1", RequestAccount.expected("u"), 20);
    account.sending("s", true);
    account.reached("s", "m2", 10);
    account.reached("s", "m3", 11);
    account.answered("s", 503, null, "", 20);
    account.close(30);
    assertThat(broken(), is(empty()));
    assertThat(account.served(), is(1L));
  }

  @Test
  void findsAnUnsafeRequestThatRanTwice() {
    account.sending("u", false);
    account.reached("u", "m1", 10);
    account.reached("u", "m2", 11);
    assertThat(broken(), contains(Invariant.RUN_ONCE));
  }

  @Test
  void findsARefusedRequestThatRuns() {
    account.sending("u", false);
    account.answered("u", 503, null, "", 20);
    account.reached("u", "m1", 25);
    account.close(30);
    assertThat(broken(), contains(Invariant.REQUEST_REFUSED));
  }

  @Test
  void findsAnAnswerThatIsCutShort() {
    account.sending("u", false);
    account.reached("u", "m1", 10);
    account.answered("u", 200, "m1", RequestAccount.event("u", 0), 20);
    assertThat(broken(), contains(Invariant.ANSWER_SAME));
  }

  @Test
  void findsAnAnswerOfAnotherRequest() {
    account.sending("u", false);
    account.reached("u", "m1", 10);
    account.answered("u", 200, "m9", RequestAccount.expected("u"), 20);
    assertThat(broken(), contains(Invariant.ANSWER_SAME));
  }

  @Test
  void knowsWhatNobodySent() {
    assertThat(account.reached("x", "m1", 10), is(false));
  }
}
