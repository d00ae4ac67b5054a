package elmsail.batch.run;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.ItemServers.RunOutcome;
import org.junit.jupiter.api.Test;

class JobTimelineTest {
  /** Operators read these texts in the log line of a late job, see docs/tier-operations.md. */
  @Test
  void theStagesAreDescribedInTheFormatThatOperatorsRead() {
    JobTimeline timeline = new JobTimeline(1_000, 1_010);
    for (JobTimeline.Stall stall : JobTimeline.Stall.values()) {
      timeline.onStalled(stall);
    }
    timeline.onBodyLoaded(1_020);
    timeline.onSent(1_030);
    timeline.onEvent(1_040);
    timeline.onCancelled();
    for (RunOutcome outcome : RunOutcome.values()) {
      timeline.onEnded(outcome, 1_030, 1_050);
    }
    assertThat(
        timeline.describe(1_060),
        is(
            "adopted=10 body=20 first-sent=30 last-sent=30 first-event=40 last-end=50 now=60"
                + " longest-run=20 sent=1 cut=1"
                + " ends={WHOLE=1, NOT_RUN=1, FAILED=1, NEVER=1, BROKEN=1}"
                + " stalls={BODY=1, UNCONFIRMED=1, NO_ROOM=1, MEMORY=1}"));
  }

  @Test
  void stagesThatWereNotReachedAreDescribedAsNever() {
    JobTimeline timeline = new JobTimeline(0, 0);
    assertThat(
        timeline.describe(5),
        is(
            "adopted=0 body=never first-sent=never last-sent=never first-event=never last-end=never"
                + " now=5 longest-run=0 sent=0 cut=0 ends={} stalls={}"));
  }
}
