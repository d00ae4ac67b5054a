package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigHistoryCheckerTest {
  private static final long LATER = 100 + Bounds.IN_FORCE_MS + 1;

  private final Findings findings = new Findings();
  private final ConfigHistoryChecker checker = new ConfigHistoryChecker(findings);

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  @BeforeEach
  void firstOnes() {
    checker.onSend(1, "one");
    checker.onAcknowledged(1, 0, 50);
    checker.onSend(3, "three");
    checker.onSend(4, "four");
  }

  @Test
  void acceptsAProperHistory() {
    checker.onAcknowledged(3, 1, 100);
    checker.onConflict(4, 120);
    checker.onRead("counter-1", LATER - 1, LATER, 1, "one");
    checker.onRead("counter-1", LATER, LATER, 3, "three");
    checker.onAcknowledged(3, 1, LATER);
    assertThat(broken(), is(empty()));
    assertThat(checker.newest(), is(3L));
  }

  @Test
  void versionsAreNeverReused() {
    assertThat(checker.nextVersion(3, 1), is(4L));
    assertThat(checker.nextVersion(3, 2), is(6L));
    assertThat(checker.nextVersion(10, 1), is(11L));
  }

  @Test
  void findsAReadThatIsTooOld() {
    checker.onAcknowledged(3, 1, 100);
    checker.onRead("counter-1", LATER, LATER, 1, "one");
    assertThat(broken(), contains(Invariant.CONFIG_KEPT));
  }

  @Test
  void findsAReadOfAnotherContent() {
    checker.onAcknowledged(3, 1, 100);
    checker.onRead("counter-1", LATER, LATER, 3, "four");
    assertThat(broken(), contains(Invariant.CONFIG_SAME));
  }

  @Test
  void findsTwoOnOneBase() {
    checker.onAcknowledged(3, 1, 100);
    checker.onAcknowledged(4, 1, 110);
    assertThat(broken(), contains(Invariant.CONFIG_ONE_WINS));
  }

  @Test
  void findsOneInForceThatHadLost() {
    checker.onConflict(4, 110);
    checker.onRead("counter-1", 120, 125, 4, "four");
    assertThat(broken(), hasItem(Invariant.CONFIG_ONE_WINS));
  }

  @Test
  void findsOneThatIsAcknowledgedAndLost() {
    checker.onAcknowledged(4, 1, 110);
    checker.onConflict(4, 120);
    assertThat(broken(), contains(Invariant.CONFIG_ONE_WINS));
  }
}
