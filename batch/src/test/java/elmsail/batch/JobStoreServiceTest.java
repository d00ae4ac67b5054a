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
import elmsail.batch.messages.QuotaKey;
import elmsail.batch.messages.WaitingTokens;
import elmsail.batch.store.JobStoreService;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JobStoreServiceTest {
  private final ManualTimers timers = new ManualTimers();
  private final List<String> dropped = new ArrayList<>();
  private boolean voting = true;
  private final JobStoreService service =
      new JobStoreService(timers, () -> voting, dropped::add, 120_000, ProcessMetrics.strict());

  private static JobRecord record(long tokens) {
    return JobRecord.accepted(
        new JobDescription(
            "r",
            "h",
            1,
            10_000,
            60_000,
            "body-1",
            List.of(new JobRecord.Item("i0", tokens), new JobRecord.Item("i1", tokens))),
        "gateway-1");
  }

  private long waitingTokensOf(String route) {
    return waitingTokensOf(new QuotaKey(route, TenantName.NONE));
  }

  private long waitingTokensOf(QuotaKey key) {
    WaitingTokens count = new WaitingTokens();
    count.mergeAll(
        List.of(
            service.onSideEffect(
                "lot/probe", new WaitingTokens.Reservation(key, "probe", 0, 1).encode())));
    return count.totalExcept("probe");
  }

  private OpaqueMessage request(String kind, byte[] bytes) {
    return service.handle(BatchMessageTypes.message(kind, bytes)).toCompletableFuture().join();
  }

  private List<AbandonedJob> abandoned() {
    return AbandonedJob.decode(
        request(BatchMessageTypes.ABANDONED, new ByteWriter().writeVarint(2_000).toByteArray())
            .bytes);
  }

  @Test
  void aReservationThatArrivesAfterItsWithdrawalDoesNotCount() {
    WaitingTokens.Reservation reservation = new WaitingTokens.Reservation("r", "a", 30, 7);
    request(BatchMessageTypes.WITHDRAW, reservation.encode());
    service.onSideEffect("lot/a", reservation.encode());
    assertThat(waitingTokensOf("r"), is(0L));
    assertThat("not admitted", service.admits("lot/a", record(10).encode()), is(false));
    service.onSideEffect("lot/a", new WaitingTokens.Reservation("r", "a", 30, 8).encode());
    assertThat("the client's next attempt", waitingTokensOf("r"), is(30L));
  }

  @Test
  void reservationsCountUntilTheyExpireOrAreWithdrawn() {
    WaitingTokens.Reservation reservation = new WaitingTokens.Reservation("r", "a", 30, 7);
    service.onSideEffect("lot/a", reservation.encode());
    service.onSideEffect("lot/a", reservation.encode());
    assertThat(waitingTokensOf("r"), is(30L));
    assertThat(waitingTokensOf("other"), is(0L));
    request(BatchMessageTypes.WITHDRAW, new WaitingTokens.Reservation("r", "a", 30, 8).encode());
    assertThat("another attempt's reservation", waitingTokensOf("r"), is(30L));
    request(BatchMessageTypes.WITHDRAW, reservation.encode());
    assertThat(waitingTokensOf("r"), is(0L));
    service.onSideEffect("lot/a", reservation.encode());
    timers.advance(5_001);
    assertThat(waitingTokensOf("r"), is(0L));
  }

  @Test
  void aFirstRecordIsAdmittedOnlyWithItsReservation() {
    byte[] value = record(10).encode();
    assertThat(service.admits("lot/a", value), is(false));
    service.onSideEffect("lot/a", new WaitingTokens.Reservation("r", "a", 20, 7).encode());
    service.onSideEffect("lot/b", new WaitingTokens.Reservation("r", "b", 20, 7).encode());
    service.onSideEffect("lot/c", new WaitingTokens.Reservation("r", "c", 19, 7).encode());
    service.onSideEffect("lot/d", new WaitingTokens.Reservation("other", "d", 20, 7).encode());
    assertThat(service.admits("lot/a", value), is(true));
    assertThat("fewer tokens were reserved", service.admits("lot/c", value), is(false));
    assertThat("reserved on another route", service.admits("lot/d", value), is(false));
    timers.advance(5_001);
    assertThat("admitted before", service.admits("lot/a", value), is(true));
    assertThat("expired unused", service.admits("lot/b", value), is(false));
    timers.advance(30_001);
    assertThat("never written", service.admits("lot/a", value), is(false));
    assertThat(service.admits("lot/a", record(10).rewritten().encode()), is(true));
  }

  private static JobRecord recordOf(TenantName tenant, long tokens) {
    List<JobRecord.Item> items = List.of(new JobRecord.Item("i", tokens));
    return JobRecord.accepted(
        new JobDescription("r", "h", 1, 10_000, 60_000, "body-1", items, tenant), "gateway-1");
  }

  @Test
  void tokensAreCountedPerTenantAndRoute() {
    QuotaKey argusKey = new QuotaKey("r", new TenantName("argus"));
    QuotaKey boraKey = new QuotaKey("r", new TenantName("bora"));
    service.onSideEffect("lot/a", new WaitingTokens.Reservation(argusKey, "a", 30, 7).encode());
    service.onSideEffect("lot/b", new WaitingTokens.Reservation(boraKey, "b", 5, 8).encode());
    service.onSideEffect("lot/c", new WaitingTokens.Reservation("r", "c", 2, 9).encode());
    assertThat(waitingTokensOf(argusKey), is(30L));
    assertThat(waitingTokensOf(boraKey), is(5L));
    assertThat("without a tenant", waitingTokensOf("r"), is(2L));
    service.onAccepted("lot/a", recordOf(argusKey.tenant(), 20).encode());
    assertThat("accepted", waitingTokensOf(argusKey), is(20L));
    assertThat(waitingTokensOf(boraKey), is(5L));
  }

  @Test
  void aFirstRecordIsNotAdmittedByTheReservationOfAnotherTenant() {
    TenantName argus = new TenantName("argus");
    byte[] value = recordOf(argus, 10).encode();
    QuotaKey boraKey = new QuotaKey("r", new TenantName("bora"));
    service.onSideEffect("lot/a", new WaitingTokens.Reservation(boraKey, "a", 10, 7).encode());
    service.onSideEffect("lot/a", new WaitingTokens.Reservation("r", "a", 10, 8).encode());
    assertThat(service.admits("lot/a", value), is(false));
    QuotaKey argusKey = new QuotaKey("r", argus);
    service.onSideEffect("lot/a", new WaitingTokens.Reservation(argusKey, "a", 10, 9).encode());
    assertThat(service.admits("lot/a", value), is(true));
  }

  @Test
  void admittedJobIsCountedWhileItsWriteIsDelayed() {
    WaitingTokens.Reservation reservation = new WaitingTokens.Reservation("r", "a", 20, 7);
    service.onSideEffect("lot/a", reservation.encode());
    timers.advance(4_900);
    assertThat(service.admits("lot/a", record(10).encode()), is(true));
    request(BatchMessageTypes.WITHDRAW, reservation.encode());
    timers.advance(10_000);
    assertThat(waitingTokensOf("r"), is(20L));
    service.onAccepted("lot/a", record(10).encode());
    assertThat(waitingTokensOf("r"), is(20L));
  }

  @Test
  void waitingTokensFollowTheNewestRecord() {
    JobRecord first = record(10);
    JobRecord withResult = first.withResults(List.of(new JobRecord.Result(1, true, 1, 5)), 0);
    service.onAccepted("lot/a", first.encode());
    assertThat(waitingTokensOf("r"), is(20L));
    service.onAccepted("lot/a", withResult.encode());
    service.onAccepted("lot/a", first.encode());
    assertThat(waitingTokensOf("r"), is(10L));
    service.onAccepted("lot/a", withResult.withCancellation().encode());
    assertThat(waitingTokensOf("r"), is(0L));
    assertThat(abandoned(), hasSize(0));
  }

  @Test
  void mergingKeepsTheNewestVersionOfEachJob() {
    WaitingTokens count = new WaitingTokens();
    WaitingTokens first = new WaitingTokens();
    first.put(1, 2, 10);
    first.put(2, 0, 7);
    WaitingTokens second = new WaitingTokens();
    second.put(1, 3, 0);
    count.mergeAll(List.of(first.encode(), second.encode()));
    assertThat(count.totalExcept("x"), is(7L));
  }

  @Test
  void heartbeatsRenewJobLeases() {
    service.onAccepted("lot/a", record(10).encode());
    byte[] heartbeat =
        new HeartbeatMessage(
                "gateway-1",
                List.of(
                    new HeartbeatMessage.JobLease("a", 1), new HeartbeatMessage.JobLease("b", 1)))
            .encode();
    for (int i = 0; i < 10; i++) {
      timers.advance(1_000);
      ByteReader response = new ByteReader(request(BatchMessageTypes.HEARTBEAT, heartbeat).bytes);
      assertThat(
          List.of(response.readVarint(), response.readVarint()),
          contains((long) HeartbeatMessage.LEASE_HELD, (long) HeartbeatMessage.UNKNOWN));
    }
    timers.advance(1_999);
    assertThat(abandoned(), hasSize(0));
    timers.advance(1);
    assertThat(abandoned(), contains(new AbandonedJob("a", 1, 2_000)));
    service.onAccepted("lot/a", record(10).withRunner("other", 0).encode());
    assertThat(
        new ByteReader(request(BatchMessageTypes.HEARTBEAT, heartbeat).bytes).readVarint(),
        is((long) HeartbeatMessage.LEASE_LOST));
  }

  @Test
  void nonVoterStoreRepliesNotAVoter() {
    service.onAccepted("lot/a", record(10).encode());
    voting = false;
    assertThat(
        request(BatchMessageTypes.ABANDONED, new ByteWriter().writeVarint(0).toByteArray()).kind,
        is(BatchMessageTypes.NOT_A_VOTER));
  }

  @Test
  void dataOfARejectedJobIsDropped() {
    service.start();
    service.onSideEffect("lot/a", new WaitingTokens.Reservation("r", "a", 30, 7).encode());
    service.onSideEffect("lot/b", new WaitingTokens.Reservation("r", "b", 20, 7).encode());
    service.onAccepted("lot/b", record(10).encode());
    timers.advance(59_000);
    assertThat(dropped, hasSize(0));
    timers.advance(10_000);
    assertThat(dropped, contains("lot/a"));
  }

  @Test
  void keysOnlyPromisedByAnEarlierProcessAreDropped() {
    service.onPromised("lot/a");
    service.onPromised("lot/b");
    service.start();
    timers.advance(30_000);
    service.onAccepted("lot/b", record(10).encode());
    timers.advance(25_000);
    assertThat(dropped, hasSize(0));
    timers.advance(15_000);
    assertThat(dropped, contains("lot/a"));
  }

  @Test
  void jobsAreDroppedAfterTheirRetentionTime() {
    service.start();
    JobRecord complete =
        record(10)
            .withResults(
                List.of(new JobRecord.Result(0, false, 1, 0), new JobRecord.Result(1, false, 1, 0)),
                0);
    service.onAccepted("lot/a", complete.encode());
    service.onAccepted("lot/b", record(10).encode());
    timers.advance(150_000);
    assertThat(dropped, hasSize(0));
    timers.advance(5_000);
    assertThat(dropped, contains("lot/a"));
    timers.advance(60_000);
    assertThat(dropped, contains("lot/a", "lot/b"));
    assertThat(service.size(), is(0));
  }
}
