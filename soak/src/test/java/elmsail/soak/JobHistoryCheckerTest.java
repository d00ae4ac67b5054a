package elmsail.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JobHistoryCheckerTest {
  private static final String HOST = "h.example";
  private static final int MAX_ATTEMPTS = 3;
  private static final long ACCEPTED = 1_000;
  private static final long SETTLED = ACCEPTED + Bounds.SETTLE_MS + 1;
  private static final long ENDED = 20_000;

  private final Findings findings = new Findings();
  private final FaultHistory faults = new FaultHistory();
  private final JobHistoryChecker checker =
      new JobHistoryChecker(findings, faults, HOST, MAX_ATTEMPTS);
  private SubmittedJob job;
  private String first;
  private String second;

  @BeforeEach
  void submit() {
    List<SubmittedJob.Item> items = new ArrayList<>();
    for (int i = 0; items.size() < 2; i++) {
      ItemScript script = ItemScript.of("item" + i);
      if (!script.impossible() && script.failures() == 0) {
        items.add(new SubmittedJob.Item("item" + i, "/bulk/i", "body " + i, 10));
      }
    }
    job = new SubmittedJob("job", SoakConfig.BULK, items);
    first = items.get(0).id();
    second = items.get(1).id();
    checker.onSubmit(job);
  }

  private List<Invariant> broken() {
    return findings.violations().stream().map(Violation::invariant).distinct().toList();
  }

  private void accept() {
    checker.onSubmitAttempt("job", 202, ACCEPTED);
  }

  private static ItemResult delivered(String id) {
    return new ItemResult(id, "delivered", ItemScript.of(id).text(id));
  }

  private static ItemResult undeliverable(String id) {
    return new ItemResult(id, "undeliverable", "");
  }

  private void read(long sentMs, int after, ItemResult... deliveries) {
    List<ItemResult> listed = List.of(deliveries);
    int next = after + listed.size();
    checker.onRead(
        new JobRead("job", "counter-1", sentMs, sentMs + 5, 200, after, 2, next, listed));
  }

  private void status(long sentMs, int status) {
    checker.onRead(new JobRead("job", "counter-1", sentMs, sentMs + 5, status, 0, 0, 0, List.of()));
  }

  private boolean run(String id, int lastEventId, long atMs) {
    String body = job.items().get(id.equals(first) ? 0 : 1).body();
    return checker.onRunStarted(
        new ItemRun(id, "counter-1", "s", HOST, "/bulk/i", body, lastEventId, atMs));
  }

  @Test
  void acceptsAProperHistory() {
    accept();
    assertThat(run(first, -1, 1_100), is(true));
    checker.onEventSent(first, 0);
    assertThat(run(first, 0, 1_200), is(true));
    checker.onRunFinished(first, 1_300);
    checker.onBodyRead(second, "counter-2", 200, job.items().get(1).body(), SETTLED, SETTLED);
    status(1_100, 404);
    read(1_400, 0, delivered(first));
    read(4_000, 0, delivered(first), delivered(second));
    read(6_000, 2);
    checker.checkAtEnd(7_000);
    assertThat(findings.violations(), is(empty()));
    assertThat(findings.checks(Invariant.JOB_KNOWN), greaterThan(0L));
  }

  @Test
  void findsAJobThatIsUnknownLater() {
    accept();
    status(SETTLED, 404);
    assertThat(broken(), contains(Invariant.JOB_KNOWN));
  }

  @Test
  void findsAJobThatIsGoneLater() {
    accept();
    status(SETTLED, 410);
    assertThat(broken(), contains(Invariant.JOB_KNOWN));
  }

  @Test
  void findsAnEndOfAnAcceptedJobThatIsUnknown() {
    accept();
    checker.onCancelResponse("job", "counter-2", 404, SETTLED);
    assertThat(broken(), contains(Invariant.JOB_KNOWN));
  }

  @Test
  void findsAPositionThatIsNotThereAnyMore() {
    accept();
    read(1_400, 0, delivered(first));
    read(1_400 + 5 + Bounds.SETTLE_MS, 0);
    assertThat(broken(), is(empty()));
    read(1_400 + 6 + Bounds.SETTLE_MS, 0);
    assertThat(broken(), contains(Invariant.POSITION_THERE));
  }

  @Test
  void findsAPositionThatChanged() {
    accept();
    read(1_400, 0, delivered(first), delivered(second));
    read(1_500, 0, delivered(second), delivered(first));
    assertThat(broken(), hasItem(Invariant.POSITION_STABLE));
  }

  @Test
  void findsAnItemAtTwoPositions() {
    accept();
    read(1_400, 0, delivered(first), delivered(first));
    assertThat(broken(), contains(Invariant.ITEMS_ONCE));
  }

  @Test
  void findsAnItemOfAnotherJob() {
    accept();
    read(1_400, 0, delivered("stranger"));
    assertThat(broken(), contains(Invariant.ITEMS_ONCE));
  }

  @Test
  void findsAWrongTotal() {
    accept();
    checker.onRead(new JobRead("job", "counter-1", 1_400, 1_405, 200, 0, 3, 0, List.of()));
    assertThat(broken(), contains(Invariant.ITEMS_ONCE));
  }

  @Test
  void findsATextThatIsNotWhole() {
    accept();
    read(1_400, 0, new ItemResult(first, "delivered", ItemScript.data(first, 0)));
    assertThat(broken(), contains(Invariant.TEXT_WHOLE));
  }

  @Test
  void findsAnItemGivenUpWithoutCause() {
    accept();
    checker.onRunFailed(first, 1_200);
    checker.onRunFailed(first, 1_210);
    read(1_400, 0, undeliverable(first));
    assertThat(broken(), contains(Invariant.UNDELIVERABLE_CAUSE));
  }

  @Test
  void anItemMayBeGivenUpWithCause() {
    accept();
    checker.onRunImpossible(first, 1_200);
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      assertThat(checker.onRunFailed(second, 1_210), is(i == MAX_ATTEMPTS - 1));
    }
    read(1_400, 0, undeliverable(first), undeliverable(second));
    assertThat(broken(), is(empty()));
  }

  @Test
  void findsAJobThatIsNotListedWhole() {
    accept();
    read(1_400, 0, delivered(first));
    checker.checkAtEnd(60_000);
    assertThat(broken(), contains(Invariant.JOB_FINISHED));
  }

  @Test
  void findsABodyThatIsNotThereOrAnother() {
    accept();
    checker.onBodyRead(first, "counter-1", 404, "", SETTLED, SETTLED + 5);
    checker.onBodyRead(first, "counter-1", 200, "another", SETTLED, SETTLED + 5);
    checker.onRunFinished(first, SETTLED + 6);
    checker.onBodyRead(first, "counter-1", 404, "", SETTLED + 7, SETTLED + 8);
    assertThat(findings.violations().size(), is(2));
    assertThat(broken(), contains(Invariant.BODY_SAME));
  }

  @Test
  void findsARunWithAnotherBodyOrAfterAnEventThatNeverWas() {
    accept();
    checker.onRunStarted(new ItemRun(first, "m", "s", HOST, "/bulk/i", "another", -1, 1_100));
    run(first, 0, 1_200);
    assertThat(findings.violations().size(), is(2));
    assertThat(broken(), contains(Invariant.ITEM_AS_SENT));
    assertThat(
        checker.onRunStarted(new ItemRun("nobody's", "m", "s", HOST, "/x", "", -1, 1)), is(false));
  }

  @Test
  void findsARefusedJobThatRuns() {
    checker.onSubmitAttempt("job", 429, 900);
    checker.onSubmitAttempt("job", 503, 1_500);
    run(first, -1, 3_000);
    checker.checkAtEnd(9_000);
    assertThat(broken(), contains(Invariant.REFUSED_NEVER_RUNS));
  }

  @Test
  void jobWithAnUnknownOutcomeMayRun() {
    checker.onSubmitAttempt("job", 429, 900);
    checker.onSubmitAttempt("job", 0, 1_500);
    run(first, -1, 3_000);
    checker.checkAtEnd(9_000);
    assertThat(broken(), is(empty()));
  }

  @Test
  void findsARunLongAfterTheEnd() {
    accept();
    checker.onCancelRequested("job", ENDED - 50);
    checker.onCancelResponse("job", "counter-1", 200, ENDED);
    run(first, -1, ENDED + Bounds.CANCEL_MS);
    checker.checkAtEnd(ENDED + 10_000);
    assertThat(broken(), is(empty()));
    run(first, -1, ENDED + Bounds.CANCEL_MS + 1);
    checker.checkAtEnd(ENDED + 10_000);
    assertThat(broken(), contains(Invariant.ENDED_NEVER_RUNS));
  }

  @Test
  void aMachineOutOfTouchMayRunLongAfterTheEnd() {
    accept();
    checker.onCancelRequested("job", ENDED - 50);
    checker.onCancelResponse("job", "counter-1", 200, ENDED);
    faults.begin(Set.of("counter-1"), false, ENDED);
    run(first, -1, ENDED + Bounds.CANCEL_MS + 1);
    checker.checkAtEnd(ENDED + 10_000);
    assertThat(broken(), is(empty()));
  }
}
