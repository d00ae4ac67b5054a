package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoteResponse;
import java.util.ArrayList;
import java.util.List;

/** The promises of a majority to one prepare request, and what they prove about the key's value. */
final class PromiseQuorum {
  private final List<VoteResponse> promises = new ArrayList<>();
  private final int majority;
  private VoteResponse highest;

  /**
   * @param promisesBySlot null for each voter that did not promise
   * @param majority the number of votes that commit a value
   */
  PromiseQuorum(VoteResponse[] promisesBySlot, int majority) {
    this.majority = majority;
    for (VoteResponse promise : promisesBySlot) {
      if (promise != null) {
        promises.add(promise);
        boolean higher = highest == null || Ballots.compare(promise.accepted, highest.accepted) > 0;
        highest = higher ? promise : highest;
      }
    }
  }

  /** The highest ballot that any of the voters accepted; round 0 if none accepted any. */
  Ballot highestAccepted() {
    return highest.accepted;
  }

  /** The value of {@link #highestAccepted()}; null if it is absent. */
  byte[] value() {
    return highest.value;
  }

  /** The results of the voters' listeners. */
  List<byte[]> sideEffects() {
    List<byte[]> sideEffects = new ArrayList<>();
    for (VoteResponse promise : promises) {
      if (promise.sideEffect != null) {
        sideEffects.add(promise.sideEffect);
      }
    }
    return sideEffects;
  }

  /**
   * Whether {@link #value()} is committed, or was never set, and nothing that the proposer sent
   * before can be committed any more.
   *
   * <p>The promises prevent any more voters from accepting an earlier ballot. But voters that are
   * not among these may have accepted it, and a later prepare phase that reaches one of them
   * commits its value, unless a majority has accepted that ballot or a higher one.
   *
   * @param lastSent the highest ballot of the proposer's earlier accept requests for this change;
   *     round 0 if it sent none
   */
  boolean isSettledSince(Ballot lastSent) {
    boolean committed = Ballots.isNone(highest.accepted) || isAcceptedByMajority();
    return committed && Ballots.compare(highest.accepted, lastSent) >= 0;
  }

  private boolean isAcceptedByMajority() {
    int votes = 0;
    for (VoteResponse promise : promises) {
      if (!promise.fromStateTransfer && Ballots.areEqual(promise.accepted, highest.accepted)) {
        votes++;
      }
    }
    return votes >= majority;
  }
}
