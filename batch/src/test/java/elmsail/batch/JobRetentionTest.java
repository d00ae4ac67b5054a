package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.batch.messages.AbandonedJob;
import elmsail.batch.messages.BatchMessageTypes;
import elmsail.batch.messages.ByteReader;
import elmsail.batch.messages.ByteWriter;
import elmsail.batch.messages.HeartbeatMessage;
import elmsail.batch.messages.JobDescription;
import elmsail.batch.messages.JobRecord;
import elmsail.batch.messages.TokenCount;
import elmsail.batch.store.JobRetention;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobRetentionTest {
  private final ManualTimers timers = new ManualTimers();
  private final List<String> dropped = new ArrayList<>();
  private boolean voting = true;
  private final JobRetention retention =
      new JobRetention(timers, () -> voting, dropped::add, 120_000, ProcessMetrics.strict());

  private static JobRecord record(long tokens) {
    return new JobRecord(
        1,
        new JobDescription(
            "r",
            "h",
            1,
            10_000,
            60_000,
            "body-1",
            List.of(new JobRecord.Item("i0", tokens), new JobRecord.Item("i1", tokens))),
        List.of(),
        false,
        "door",
        1,
        0);
  }

  private long others(String route) {
    TokenCount count = new TokenCount();
    count.putAll(
        List.of(retention.onSideEffect("lot/probe", new TokenCount.Add(route, "probe", 0, 1).packed())));
    return count.without("probe");
  }

  private OpaqueMessage request(String kind, byte[] bytes) {
    return retention.answer(BatchMessageTypes.message(kind, bytes)).toCompletableFuture().join();
  }

  private List<AbandonedJob> abandoned() {
    return AbandonedJob.unpacked(
        request(BatchMessageTypes.ABANDONED, new ByteWriter().number(2_000).packed()).bytes);
  }

  @Test
  void anAddThatComesBehindItsWithdrawalDoesNotCount() {
    TokenCount.Add add = new TokenCount.Add("r", "a", 30, 7);
    request(BatchMessageTypes.WITHDRAW, add.packed());
    retention.onSideEffect("lot/a", add.packed());
    assertThat(others("r"), is(0L));
    assertThat("not admitted", retention.admits("lot/a", record(10).packed()), is(false));
    retention.onSideEffect("lot/a", new TokenCount.Add("r", "a", 30, 8).packed());
    assertThat("the client's next try", others("r"), is(30L));
  }

  @Test
  void addsCountUntilTheyRunOutOrAreWithdrawn() {
    TokenCount.Add add = new TokenCount.Add("r", "a", 30, 7);
    retention.onSideEffect("lot/a", add.packed());
    retention.onSideEffect("lot/a", add.packed());
    assertThat(others("r"), is(30L));
    assertThat(others("else"), is(0L));
    request(BatchMessageTypes.WITHDRAW, new TokenCount.Add("r", "a", 30, 8).packed());
    assertThat("another try's add", others("r"), is(30L));
    request(BatchMessageTypes.WITHDRAW, add.packed());
    assertThat(others("r"), is(0L));
    retention.onSideEffect("lot/a", add.packed());
    timers.advance(5_001);
    assertThat(others("r"), is(0L));
  }

  @Test
  void aFirstRecordIsTakenOnlyWithItsAdd() {
    byte[] value = record(10).packed();
    assertThat(retention.admits("lot/a", value), is(false));
    retention.onSideEffect("lot/a", new TokenCount.Add("r", "a", 20, 7).packed());
    retention.onSideEffect("lot/b", new TokenCount.Add("r", "b", 20, 7).packed());
    retention.onSideEffect("lot/c", new TokenCount.Add("r", "c", 19, 7).packed());
    retention.onSideEffect("lot/d", new TokenCount.Add("else", "d", 20, 7).packed());
    assertThat(retention.admits("lot/a", value), is(true));
    assertThat("fewer tokens were added", retention.admits("lot/c", value), is(false));
    assertThat("added on another route", retention.admits("lot/d", value), is(false));
    timers.advance(5_001);
    assertThat("admitted before", retention.admits("lot/a", value), is(true));
    assertThat("run out unused", retention.admits("lot/b", value), is(false));
    timers.advance(30_001);
    assertThat("never written", retention.admits("lot/a", value), is(false));
    assertThat(retention.admits("lot/a", record(10).again().packed()), is(true));
  }

  @Test
  void aJobThatIsBeingWrittenIsCountedHoweverLongTheDiskTakes() {
    TokenCount.Add add = new TokenCount.Add("r", "a", 20, 7);
    retention.onSideEffect("lot/a", add.packed());
    timers.advance(4_900);
    assertThat(retention.admits("lot/a", record(10).packed()), is(true));
    request(BatchMessageTypes.WITHDRAW, add.packed());
    timers.advance(10_000);
    assertThat(others("r"), is(20L));
    retention.onAccepted("lot/a", record(10).packed());
    assertThat(others("r"), is(20L));
  }

  @Test
  void theCountFollowsTheNewestRecord() {
    JobRecord first = record(10);
    JobRecord listed = first.listing(List.of(new JobRecord.Result(1, true, 1, 5)), 0);
    retention.onAccepted("lot/a", first.packed());
    assertThat(others("r"), is(20L));
    retention.onAccepted("lot/a", listed.packed());
    retention.onAccepted("lot/a", first.packed());
    assertThat(others("r"), is(10L));
    retention.onAccepted("lot/a", listed.endedNow().packed());
    assertThat(others("r"), is(0L));
    assertThat(abandoned(), hasSize(0));
  }

  @Test
  void theUnionTakesTheNewestOfEachJob() {
    TokenCount count = new TokenCount();
    TokenCount one = new TokenCount();
    one.put(1, 2, 10);
    one.put(2, 0, 7);
    TokenCount other = new TokenCount();
    other.put(1, 3, 0);
    count.putAll(List.of(one.packed(), other.packed()));
    assertThat(count.without("x"), is(7L));
  }

  @Test
  void aRunnerThatIsHeardKeepsItsJobs() {
    retention.onAccepted("lot/a", record(10).packed());
    byte[] heartbeat =
        new HeartbeatMessage(
                "door", List.of(new HeartbeatMessage.Run("a", 1), new HeartbeatMessage.Run("b", 1)))
            .packed();
    for (int i = 0; i < 10; i++) {
      timers.advance(1_000);
      ByteReader response = new ByteReader(request(BatchMessageTypes.HEARTBEAT, heartbeat).bytes);
      assertThat(
          List.of(response.number(), response.number()),
          contains((long) HeartbeatMessage.YOURS, (long) HeartbeatMessage.UNKNOWN));
    }
    timers.advance(1_999);
    assertThat(abandoned(), hasSize(0));
    timers.advance(1);
    assertThat(abandoned(), contains(new AbandonedJob("a", 1, 2_000)));
    retention.onAccepted("lot/a", record(10).runBy("other", 0).packed());
    assertThat(
        new ByteReader(request(BatchMessageTypes.HEARTBEAT, heartbeat).bytes).number(),
        is((long) HeartbeatMessage.GONE));
  }

  @Test
  void withoutASeatItSaysNothing() {
    retention.onAccepted("lot/a", record(10).packed());
    voting = false;
    assertThat(
        request(BatchMessageTypes.ABANDONED, new ByteWriter().number(0).packed()).kind,
        is(BatchMessageTypes.NOT_SEATED));
  }

  @Test
  void whatCameWithAJobThatWasRefusedIsDropped() {
    retention.start();
    retention.onSideEffect("lot/a", new TokenCount.Add("r", "a", 30, 7).packed());
    retention.onSideEffect("lot/b", new TokenCount.Add("r", "b", 20, 7).packed());
    retention.onAccepted("lot/b", record(10).packed());
    timers.advance(59_000);
    assertThat(dropped, hasSize(0));
    timers.advance(10_000);
    assertThat(dropped, contains("lot/a"));
  }

  @Test
  void whatAnEarlierProcessOnlyPromisedIsDropped() {
    retention.onPromised("lot/a");
    retention.onPromised("lot/b");
    retention.start();
    timers.advance(30_000);
    retention.onAccepted("lot/b", record(10).packed());
    timers.advance(25_000);
    assertThat(dropped, hasSize(0));
    timers.advance(15_000);
    assertThat(dropped, contains("lot/a"));
  }

  @Test
  void jobsAreDroppedOnceNobodyMayAskForThem() {
    retention.start();
    JobRecord whole =
        record(10)
            .listing(
                List.of(new JobRecord.Result(0, false, 1, 0), new JobRecord.Result(1, false, 1, 0)),
                0);
    retention.onAccepted("lot/a", whole.packed());
    retention.onAccepted("lot/b", record(10).packed());
    timers.advance(150_000);
    assertThat(dropped, hasSize(0));
    timers.advance(5_000);
    assertThat(dropped, contains("lot/a"));
    timers.advance(60_000);
    assertThat(dropped, contains("lot/a", "lot/b"));
    assertThat(retention.size(), is(0));
  }
}
