package elmsail.batch.api;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.ContentDigest;
import elmsail.batch.messages.WaitingTokens;
import org.junit.jupiter.api.Test;

class AdmissionCheckTest {
  private static final long LIMIT = 100;

  /**
   * Two job ids, of which {@code FIRST} is ahead of {@code SECOND} in the order of reservations.
   */
  private static final String FIRST;

  private static final String SECOND;

  static {
    boolean inOrder = ContentDigest.of("a") < ContentDigest.of("b");
    FIRST = inOrder ? "a" : "b";
    SECOND = inOrder ? "b" : "a";
  }

  private static AdmissionCheck check(String jobId, long tokens) {
    return new AdmissionCheck(jobId, tokens, LIMIT);
  }

  private static WaitingTokens accepted(String jobId, long tokens) {
    WaitingTokens counted = new WaitingTokens();
    counted.put(ContentDigest.of(jobId), 1, tokens);
    return counted;
  }

  private static WaitingTokens reserved(String jobId, long tokens) {
    WaitingTokens counted = new WaitingTokens();
    counted.put(ContentDigest.of(jobId), WaitingTokens.RESERVED_VERSION, tokens);
    return counted;
  }

  @Test
  void withoutALimitEveryJobFits() {
    AdmissionCheck check = new AdmissionCheck(FIRST, Long.MAX_VALUE / 2, 0);
    assertThat(
        check.evaluate(accepted(SECOND, Long.MAX_VALUE / 4), AdmissionRound.COMMIT),
        is(AdmissionVerdict.FITS));
  }

  @Test
  void aJobFitsUpToTheLimitAndNotBeyond() {
    WaitingTokens counted = accepted(SECOND, 60);
    assertThat(check(FIRST, 40).evaluate(counted, AdmissionRound.READ), is(AdmissionVerdict.FITS));
    assertThat(
        check(FIRST, 41).evaluate(counted, AdmissionRound.READ), is(AdmissionVerdict.OVER_QUOTA));
  }

  @Test
  void theReservationOfTheJobItselfDoesNotCountAgainstIt() {
    assertThat(
        check(FIRST, 100).evaluate(reserved(FIRST, 100), AdmissionRound.COMMIT),
        is(AdmissionVerdict.FITS));
  }

  @Test
  void firstOfTwoReservedJobsKeepsItsReservation() {
    assertThat(
        check(FIRST, 60).evaluate(reserved(SECOND, 60), AdmissionRound.RESERVE),
        is(AdmissionVerdict.CONTENDED_FIRST));
    assertThat(
        check(SECOND, 60).evaluate(reserved(FIRST, 60), AdmissionRound.RESERVE),
        is(AdmissionVerdict.CONTENDED));
  }

  @Test
  void jobWithoutAReservationIsContendedRegardlessOfTheOrder() {
    assertThat(
        check(FIRST, 60).evaluate(reserved(SECOND, 60), AdmissionRound.READ),
        is(AdmissionVerdict.CONTENDED));
  }

  @Test
  void acceptedJobsCountRegardlessOfTheOrder() {
    assertThat(
        check(FIRST, 60).evaluate(accepted(SECOND, 60), AdmissionRound.RESERVE),
        is(AdmissionVerdict.OVER_QUOTA));
  }
}
