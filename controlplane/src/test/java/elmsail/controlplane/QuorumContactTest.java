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
  void thereIsNoneBeforeTheFirstRound() {
    assertThat(contact.current(), is(false));
    assertThat(contact.within(Long.MAX_VALUE), is(false));
    assertThat(contact.unbrokenMs(), is(-1L));
  }

  @Test
  void itCountsFromWhenTheRoundWasSentAndEndsAtTheBound() {
    long sentAt = timers.now();
    timers.advance(400);
    contact.answered(sentAt);
    timers.advance(QuorumContact.BOUND_MS - 400);
    assertThat(contact.current(), is(true));
    timers.advance(1);
    assertThat(contact.current(), is(false));
  }

  @Test
  void anAnswerFoundAfterAFreezeProvesNothing() {
    long sentAt = timers.now();
    timers.advance(20_000);
    contact.answered(sentAt);
    assertThat(contact.current(), is(false));
    assertThat(contact.unbrokenMs(), is(-1L));
  }

  @Test
  void anOlderRoundThatIsAnsweredLaterChangesNothing() {
    long first = timers.now();
    timers.advance(100);
    contact.answered(timers.now());
    contact.answered(first);
    timers.advance(QuorumContact.BOUND_MS);
    assertThat(contact.current(), is(true));
  }

  @Test
  void itIsUnbrokenOnlySinceTheLastLapse() {
    contact.answered(timers.now());
    timers.advance(1_000);
    contact.answered(timers.now());
    assertThat(contact.unbrokenMs(), is(1_000L));
    timers.advance(QuorumContact.BOUND_MS + 1);
    contact.answered(timers.now());
    assertThat(contact.unbrokenMs(), is(0L));
  }

  @Test
  void anAnswerPassesOnlyInContact() {
    ElmsailException refused =
        assertThrows(ElmsailException.class, () -> contact.checked("the configuration"));
    assertThat(refused.code(), is(ErrorCode.NOT_A_VOTER));
    contact.answered(timers.now());
    assertThat(contact.checked("the configuration"), is("the configuration"));
  }
}
