package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import org.junit.jupiter.api.Test;

class QuorumContactTest {
  private final ManualTimers timers = new ManualTimers();
  private final QuorumContact contact = new QuorumContact(timers);

  @Test
  void noContactBeforeTheFirstRound() {
    assertThat(contact.isCurrent(), is(false));
    assertThat(contact.isWithin(Long.MAX_VALUE), is(false));
    assertThat(contact.unbrokenMs(), is(-1L));
  }

  @Test
  void contactCountsFromTheSendingOfTheRound() {
    long sentAt = timers.now();
    timers.advance(400);
    contact.onRoundCompleted(sentAt);
    timers.advance(QuorumContact.MAX_AGE_MS - 400);
    assertThat(contact.isCurrent(), is(true));
    timers.advance(1);
    assertThat(contact.isCurrent(), is(false));
  }

  @Test
  void responseReadAfterAFreezeDoesNotCountAsContact() {
    long sentAt = timers.now();
    timers.advance(20_000);
    contact.onRoundCompleted(sentAt);
    assertThat(contact.isCurrent(), is(false));
    assertThat(contact.unbrokenMs(), is(-1L));
  }

  @Test
  void lateResponseToAnOlderRoundChangesNothing() {
    long first = timers.now();
    timers.advance(100);
    contact.onRoundCompleted(timers.now());
    contact.onRoundCompleted(first);
    timers.advance(QuorumContact.MAX_AGE_MS);
    assertThat(contact.isCurrent(), is(true));
  }

  @Test
  void contactIsUnbrokenOnlySinceTheLastLapse() {
    contact.onRoundCompleted(timers.now());
    timers.advance(1_000);
    contact.onRoundCompleted(timers.now());
    assertThat(contact.unbrokenMs(), is(1_000L));
    timers.advance(QuorumContact.MAX_AGE_MS + 1);
    contact.onRoundCompleted(timers.now());
    assertThat(contact.unbrokenMs(), is(0L));
  }

  @Test
  void responseIsReturnedOnlyInContact() {
    ElmsailException refused =
        assertThrows(ElmsailException.class, () -> contact.requireCurrent("the configuration"));
    assertThat(refused.code(), is(ErrorCode.NOT_A_VOTER));
    contact.onRoundCompleted(timers.now());
    assertThat(contact.requireCurrent("the configuration"), is("the configuration"));
  }
}
