package elmsail.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.messages.Ballot;
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

/** The metrics of a replica, and the invariant that a replica checks. */
class ReplicaMetricsTest {
  private final SimCluster cluster = new SimCluster();

  private long metric(int replica, String name) {
    return cluster.metrics[replica].counters().counter(name).value();
  }

  private long refused(int replica, String reason) {
    MetricName name =
        new MetricName("replica_refused_" + reason, "replica_refused", "reason", reason);
    return cluster.metrics[replica].counters().counter(name).value();
  }

  private void put(String value) {
    cluster.put(value, SimCluster.blob("blob " + value, 9));
  }

  @Test
  void countsRequestsAndRecords() {
    cluster.bootstrapped();
    assertThat(metric(0, "replica_voting"), is(1L));
    assertThat("a spare", metric(3, "replica_voting"), is(0L));
    put("one");
    put("two");
    cluster.timers.advance(50);
    assertThat(metric(0, "replica_prepares_answered"), greaterThan(0L));
    assertThat(metric(0, "replica_accepts_answered"), greaterThan(0L));
    assertThat(metric(0, "replica_keys_kept"), is(1L));
    assertThat(metric(0, "replica_blobs_kept"), is(2L));
    cluster.await(cluster.client(cluster.initialVoters).read("key", null, 3_000));
    cluster.timers.advance(50);
    long reads = 0;
    for (int i = 0; i < 3; i++) {
      reads += metric(i, "replica_reads_answered");
    }
    assertThat(reads, greaterThan(1L));
  }

  @Test
  void countsJoinsAndRefusalsByReason() {
    cluster.bootstrapped();
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[0]);
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[1]);
    cluster.net.cutBoth(SimCluster.ADDRESSES[3], SimCluster.ADDRESSES[2]);
    cluster.replicas[3].learn(cluster.initialVoters);
    cluster.replicas[3].join(0, 2);
    cluster.timers.advance(500);
    assertThat(metric(3, "replica_join_under_way"), is(1L));
    assertThat(metric(3, "replica_voting"), is(0L));
    cluster.net.healAll();
    cluster.awaitVoting(3, 5_000);
    assertThat(metric(3, "replica_join_under_way"), is(0L));
    assertThat(metric(3, "replica_voting"), is(1L));
    put("under the old voter set");
    assertThat(refused(1, "old_voter_set"), greaterThan(0L));
  }

  @Test
  void refusalsAreCountedByResponseCode() {
    Counters counters = new Counters();
    ReplicaCounters replicaCounters = new ReplicaCounters(counters);
    replicaCounters.refused(VoteResponse.BALLOT_TOO_LOW);
    replicaCounters.refused(VoteResponse.STALE_VOTER_SET);
    replicaCounters.refused(VoteResponse.NOT_A_VOTER);
    replicaCounters.refused(VoteResponse.NOT_ADMITTED);
    replicaCounters.refusedOnFailedWrite();
    for (String reason : List.of("outbid", "old_voter_set", "not_voting", "not_admitted", "disk")) {
      MetricName name =
          new MetricName("replica_refused_" + reason, "replica_refused", "reason", reason);
      assertThat(reason, counters.counter(name).value(), is(1L));
    }
    assertThrows(IllegalArgumentException.class, () -> replicaCounters.refused(VoteResponse.OK));
  }

  @Test
  void acceptedBallotAboveThePromisedOneIsAViolation() {
    AcceptorState corrupt =
        new AcceptorState(Ballots.of(3, 1), Ballots.of(4, 1), false, "value".getBytes(UTF_8));
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
    cluster.bootstrapped();
    AcceptorState corrupt =
        new AcceptorState(Ballots.of(3, 1), Ballots.of(4, 1), false, "value".getBytes(UTF_8));
    cluster.records[0].write(List.of(new Change("set/k/key", corrupt.toBytes())));
    cluster.timers.advance(50);
    cluster.client(cluster.initialVoters).read("key", null, 500);
    InvariantViolation thrown =
        assertThrows(InvariantViolation.class, () -> cluster.timers.advance(700));
    assertThat(thrown.getMessage(), containsString("set: key key"));
    assertThat(cluster.metrics[0].invariants().violations(), greaterThan(0L));
    assertThat(cluster.metrics[1].invariants().violations(), is(0L));
  }
}
