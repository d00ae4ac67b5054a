package elmsail.consensus;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ObservedState;
import elmsail.consensus.Register.ProposedValue;
import elmsail.consensus.Register.VersionedValue;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * A change that was declined is never committed later, even if the same call proposed a value
 * before and one voter accepted it.
 */
class DeclinedChangeTest {
  private static final String KEY = "key";
  private static final long TIMEOUT_MS = 5_000;

  private final SimCluster cluster = new SimCluster().bootstrapped();

  /** Calls of the change function of {@link #proposeToFirstVoterOnly}. */
  private int changeCalls;

  /**
   * Starts a change whose first accept request reaches only the first voter, and whose later rounds
   * reach only the two others.
   *
   * @param later the change function from its second call on
   */
  private CompletableFuture<CommittedState> proposeToFirstVoterOnly(
      Function<ObservedState, ProposedValue> later) {
    RegisterClient client = cluster.client(cluster.initialVoters);
    String address = cluster.lastClientAddress();
    return client.change(
        KEY,
        observed -> {
          if (changeCalls++ > 0) {
            return later.apply(observed);
          }
          cluster.net.cut(address, SimCluster.ADDRESSES[1]);
          cluster.net.cut(address, SimCluster.ADDRESSES[2]);
          cluster.timers.schedule(100, () -> reachOnlyOtherVoters(address));
          return new ProposedValue("half".getBytes(UTF_8), List.of());
        },
        List.of(),
        null,
        TIMEOUT_MS);
  }

  private void reachOnlyOtherVoters(String client) {
    assertThat(new String(cluster.replicas[0].acceptedValue(KEY), UTF_8), is("half"));
    cluster.net.healAll();
    cluster.net.cutBoth(client, SimCluster.ADDRESSES[0]);
  }

  private static ProposedValue decline(ObservedState observed) {
    return new ProposedValue(null, List.of());
  }

  /** The value that a change by another client commits, with the first voter in its majority. */
  private byte[] valueCommittedWithFirstVoter() {
    cluster.net.healAll();
    cluster.kill(2);
    RegisterClient other = cluster.client(cluster.initialVoters);
    return cluster
        .await(other.change(KEY, DeclinedChangeTest::decline, List.of(), null, TIMEOUT_MS))
        .current()
        .value();
  }

  /** Guards against review/1: a job refused with 429 ran after its stores were killed. */
  @Test
  void valueProposedBeforeTheChangeWasDeclinedOnAnAbsentValueIsNotCommittedLater() {
    CommittedState outcome = cluster.await(proposeToFirstVoterOnly(DeclinedChangeTest::decline));
    assertThat(outcome.changed(), is(false));
    assertThat(outcome.current().value(), nullValue());
    assertThat(valueCommittedWithFirstVoter(), nullValue());
  }

  /**
   * The same fault for a key that has a value: an operator's order refused with 409 took effect.
   */
  @Test
  void valueProposedBeforeTheChangeWasDeclinedOnACommittedValueIsNotCommittedLater() {
    cluster.put("before");
    CommittedState outcome = cluster.await(proposeToFirstVoterOnly(DeclinedChangeTest::decline));
    assertThat(outcome.changed(), is(false));
    assertThat(new String(outcome.current().value(), UTF_8), is("before"));
    assertThat(new String(valueCommittedWithFirstVoter(), UTF_8), is("before"));
  }

  /** A change function that throws after it proposed a value must not look like a refusal. */
  @Test
  void outcomeIsUnknownIfTheChangeFunctionThrowsAfterItProposed() {
    CompletableFuture<CommittedState> change =
        proposeToFirstVoterOnly(
            observed -> {
              throw new ElmsailException(ErrorCode.RESOURCE_EXHAUSTED, "full");
            });
    Throwable failure = assertThrows(CompletionException.class, () -> cluster.await(change));
    assertThat(ElmsailException.codeOf(failure), is(ErrorCode.OUTCOME_UNKNOWN));
  }

  @Test
  void readFindsACommittedAbsence() {
    cluster.await(proposeToFirstVoterOnly(DeclinedChangeTest::decline));
    cluster.net.healAll();
    RegisterClient reader = cluster.client(cluster.initialVoters);
    VersionedValue read = cluster.await(reader.read(KEY, null, TIMEOUT_MS));
    assertThat(read.value(), nullValue());
    assertThat(Ballots.isNone(read.ballot()), is(false));
    VersionedValue again = cluster.await(reader.read(KEY, read.ballot(), TIMEOUT_MS));
    assertThat(Ballots.areEqual(again.ballot(), read.ballot()), is(true));
  }

  @Test
  void keyWithACommittedAbsenceCanBeChanged() {
    cluster.await(proposeToFirstVoterOnly(DeclinedChangeTest::decline));
    cluster.net.healAll();
    cluster.put("after");
    assertThat(cluster.read(TIMEOUT_MS), is("after"));
  }

  @Test
  void committedAbsenceSurvivesRestartsAndTheLossOfADisk() {
    cluster.await(proposeToFirstVoterOnly(DeclinedChangeTest::decline));
    cluster.net.healAll();
    for (int i = 0; i < 3; i++) {
      cluster.kill(i);
    }
    cluster.disks[1].wipe();
    for (int i = 0; i < 3; i++) {
      cluster.start(i);
    }
    cluster.replicas[1].learn(cluster.initialVoters);
    cluster.awaitVoting(1, 5_000);
    assertThat(cluster.replicas[1].isVoting(), is(true));
    assertThat(valueCommittedWithFirstVoter(), nullValue());
  }

  /** Clients don't pay: a change that proposed nothing is declined without a write. */
  @Test
  void changeThatProposedNothingIsDeclinedWithoutAnAcceptRequest() {
    RegisterClient client = cluster.client(cluster.initialVoters);
    CommittedState outcome =
        cluster.await(client.change(KEY, DeclinedChangeTest::decline, List.of(), null, TIMEOUT_MS));
    assertThat(outcome.changed(), is(false));
    assertThat(cluster.requestCounts.get("AcceptRequest"), is(nullValue()));
    assertThat(cluster.requestCounts.get("PrepareRequest"), is(not(nullValue())));
  }
}
