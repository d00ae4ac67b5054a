package elmsail.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.consensus.Register.ProposedValue;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.VoteResponse;
import elmsail.runtime.Counters;
import elmsail.runtime.Invariant;
import elmsail.runtime.InvariantViolation;
import elmsail.runtime.Invariants;
import elmsail.runtime.MetricName;
import elmsail.runtime.ProcessMetrics;
import elmsail.storage.RecordStore.Change;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a replica tells of itself, and the invariant that it checks. */
class ReplicaMetricsTest {
  private final SimCluster set = new SimCluster();

  private long metric(int replica, String name) {
    return set.metrics[replica].counters().counter(name).value();
  }

  private long refused(int replica, String reason) {
    MetricName name =
        new MetricName("replica_refused_" + reason, "replica_refused", "reason", reason);
    return set.metrics[replica].counters().counter(name).value();
  }

  private void put(String value) {
    Blob blob = new Blob();
    blob.name = "blob " + value;
    blob.bytes = new byte[9];
    set.await(
        set.client(set.initialVoters)
            .change(
                "key",
                observed -> new ProposedValue(value.getBytes(), List.of()),
                List.of(blob),
                null,
                3_000));
  }

  @Test
  void countsRequestsAndRecords() {
    set.bootstrapped();
    assertThat(metric(0, "replica_voting"), is(1L));
    assertThat("a spare", metric(3, "replica_voting"), is(0L));
    put("one");
    put("two");
    set.timers.advance(50);
    assertThat(metric(0, "replica_prepares_answered"), greaterThan(0L));
    assertThat(metric(0, "replica_accepts_answered"), greaterThan(0L));
    assertThat(metric(0, "replica_keys_kept"), is(1L));
    assertThat(metric(0, "replica_blobs_kept"), is(2L));
    set.await(set.client(set.initialVoters).read("key", null, 3_000));
    set.timers.advance(50);
    long reads = 0;
    for (int i = 0; i < 3; i++) {
      reads += metric(i, "replica_reads_answered");
    }
    assertThat(reads, greaterThan(1L));
  }

  @Test
  void countsJoinsAndRefusalsByReason() {
    set.bootstrapped();
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[0]);
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[1]);
    set.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    set.replicas[3].learn(set.initialVoters);
    set.replicas[3].join(0, 2);
    set.timers.advance(500);
    assertThat(metric(3, "replica_join_under_way"), is(1L));
    assertThat(metric(3, "replica_voting"), is(0L));
    set.net.healAll();
    set.awaitVoting(3, 5_000);
    assertThat(metric(3, "replica_join_under_way"), is(0L));
    assertThat(metric(3, "replica_voting"), is(1L));
    put("under the old voter set");
    assertThat(refused(1, "old_voter_set"), greaterThan(0L));
  }

  @Test
  void refusalsAreCountedByResponseCode() {
    Counters counters = new Counters();
    ReplicaCounters own = new ReplicaCounters(counters);
    own.refused(VoteResponse.BALLOT_TOO_LOW);
    own.refused(VoteResponse.STALE_VOTER_SET);
    own.refused(VoteResponse.NOT_A_VOTER);
    own.refused(VoteResponse.NOT_ADMITTED);
    own.refusedByDisk();
    for (String reason : List.of("outbid", "old_voter_set", "not_voting", "not_admitted", "disk")) {
      MetricName name =
          new MetricName("replica_refused_" + reason, "replica_refused", "reason", reason);
      assertThat(reason, counters.counter(name).value(), is(1L));
    }
    assertThrows(IllegalArgumentException.class, () -> own.refused(VoteResponse.OK));
  }

  @Test
  void acceptedBallotAboveThePromisedOneIsAViolation() {
    AcceptorState corrupt =
        new AcceptorState(Ballots.of(3, 1), Ballots.of(4, 1), false, "value".getBytes());
    Invariants strict = ProcessMetrics.strict().invariants();
    InvariantViolation thrown =
        assertThrows(
            InvariantViolation.class,
            () -> ReplicaRequestHandler.checkInvariant(strict, "set", "key", corrupt));
    assertThat(thrown.invariant(), is(Invariant.ACCEPTED_BALLOT_PROMISED));
    Ballot promised = Ballots.of(4, 1);
    ReplicaRequestHandler.checkInvariant(
        strict, "set", "key", new AcceptorState(promised, Ballots.of(4, 1), false, null));
  }

  @Test
  void corruptRecordIsDetectedWhenAVoterReadsIt() {
    set.bootstrapped();
    AcceptorState corrupt =
        new AcceptorState(Ballots.of(3, 1), Ballots.of(4, 1), false, "value".getBytes());
    set.records[0].write(List.of(new Change("set/k/key", corrupt.toBytes())));
    set.timers.advance(50);
    set.client(set.initialVoters).read("key", null, 500);
    InvariantViolation thrown =
        assertThrows(InvariantViolation.class, () -> set.timers.advance(700));
    assertThat(thrown.getMessage(), containsString("set: key key"));
    assertThat(set.metrics[0].invariants().violations(), greaterThan(0L));
    assertThat(set.metrics[1].invariants().violations(), is(0L));
  }
}
