package elmsail.consensus;

import elmsail.rpc.messages.VoteResponse;
import elmsail.runtime.Counters;
import elmsail.runtime.MetricName;

/** The counters of a replica's requests. Used on the replica's event loop. */
final class ReplicaCounters {
  private static final String REFUSED = "replica_refused";
  private static final String REASON = "reason";

  /** Prepare requests that were promised. */
  final Counters.Counter preparesAnswered;

  /** Accept requests that were accepted. */
  final Counters.Counter acceptsAnswered;

  /** Reads of a key's state that were responded to. */
  final Counters.Counter readsAnswered;

  /** Refused: a higher ballot was promised. */
  private final Counters.Counter refusedOutbid;

  /** Refused: the request has an older voter set. */
  private final Counters.Counter refusedOldVoterSet;

  /** Refused: this replica does not vote. */
  private final Counters.Counter refusedNotVoting;

  /** Refused: the listener did not admit the value. */
  private final Counters.Counter refusedNotAdmitted;

  /** Refused: a write that the response depends on failed. */
  private final Counters.Counter refusedFailedWrite;

  /** Registers the counters under their exported names. */
  ReplicaCounters(Counters counters) {
    preparesAnswered = counters.counter("replica_prepares_answered");
    acceptsAnswered = counters.counter("replica_accepts_answered");
    readsAnswered = counters.counter("replica_reads_answered");
    refusedOutbid = refused(counters, "outbid");
    refusedOldVoterSet = refused(counters, "old_voter_set");
    refusedNotVoting = refused(counters, "not_voting");
    refusedNotAdmitted = refused(counters, "not_admitted");
    refusedFailedWrite = refused(counters, "disk");
  }

  private static Counters.Counter refused(Counters counters, String reason) {
    return counters.counter(new MetricName(REFUSED + "_" + reason, REFUSED, REASON, reason));
  }

  /**
   * Counts a refusal by the code of the response.
   *
   * @throws IllegalArgumentException if the code is not that of a refusal
   */
  void refused(int code) {
    switch (code) {
      case VoteResponse.BALLOT_TOO_LOW -> refusedOutbid.add(1);
      case VoteResponse.STALE_VOTER_SET -> refusedOldVoterSet.add(1);
      case VoteResponse.NOT_A_VOTER -> refusedNotVoting.add(1);
      case VoteResponse.NOT_ADMITTED -> refusedNotAdmitted.add(1);
      default -> throw new IllegalArgumentException("not a refusal: " + code);
    }
  }

  /** Counts a response that could not be sent because a write failed. */
  void refusedOnFailedWrite() {
    refusedFailedWrite.add(1);
  }
}
