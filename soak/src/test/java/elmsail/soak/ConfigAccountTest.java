package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigAccountTest {
  private static final long LATER = 100 + Bounds.IN_FORCE_MS + 1;

  private final Findings findings = new Findings();
  private final ConfigAccount account = new ConfigAccount(findings);

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  @BeforeEach
  void firstOnes() {
    account.sending(1, "one");
    account.acknowledged(1, 0, 50);
    account.sending(3, "three");
    account.sending(4, "four");
  }

  @Test
  void aProperStoryBreaksNothing() {
    account.acknowledged(3, 1, 100);
    account.lost(4, 120);
    account.read("counter-1", LATER - 1, LATER, 1, "one");
    account.read("counter-1", LATER, LATER, 3, "three");
    account.acknowledged(3, 1, LATER);
    assertThat(broken(), is(empty()));
    assertThat(account.newest(), is(3L));
  }

  @Test
  void numbersAreNeverGivenTwice() {
    assertThat(account.nextEdition(3, 1), is(4L));
    assertThat(account.nextEdition(3, 2), is(6L));
    assertThat(account.nextEdition(10, 1), is(11L));
  }

  @Test
  void findsAReadThatIsTooOld() {
    account.acknowledged(3, 1, 100);
    account.read("counter-1", LATER, LATER, 1, "one");
    assertThat(broken(), contains(Invariant.CONFIG_KEPT));
  }

  @Test
  void findsAReadOfAnotherContent() {
    account.acknowledged(3, 1, 100);
    account.read("counter-1", LATER, LATER, 3, "four");
    assertThat(broken(), contains(Invariant.CONFIG_SAME));
  }

  @Test
  void findsTwoOnOneBase() {
    account.acknowledged(3, 1, 100);
    account.acknowledged(4, 1, 110);
    assertThat(broken(), contains(Invariant.CONFIG_ONE_WINS));
  }

  @Test
  void findsOneInForceThatHadLost() {
    account.lost(4, 110);
    account.read("counter-1", 120, 125, 4, "four");
    assertThat(broken(), hasItem(Invariant.CONFIG_ONE_WINS));
  }

  @Test
  void findsOneThatIsAcknowledgedAndLost() {
    account.acknowledged(4, 1, 110);
    account.lost(4, 120);
    assertThat(broken(), contains(Invariant.CONFIG_ONE_WINS));
  }
}
