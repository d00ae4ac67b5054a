package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoteResponse;

/**
 * The decisions of one voter (an acceptor of CASPaxos) at one key. They are pure functions of the
 * key's state and use neither time nor network nor disk.
 */
final class Acceptor {
  private Acceptor() {}

  /**
   * The response, and the state that must be durable before the response is sent.
   *
   * @param newState the state to write; null if the state doesn't change. In both cases all writes
   *     before this decision must be durable before the response is sent
   */
  record Decision(VoteResponse response, AcceptorState newState) {}

  /**
   * Promises the ballot unless a higher ballot was promised. A repeated prepare request gets the
   * same response as the first.
   */
  static Decision prepare(AcceptorState state, Ballot ballot) {
    int comparison = Ballots.compare(ballot, state.promised());
    if (comparison < 0 || Ballots.isNone(ballot)) {
      return new Decision(responseWithValue(VoteResponse.BALLOT_TOO_LOW, state), null);
    }
    if (comparison == 0) {
      return new Decision(responseWithValue(VoteResponse.OK, state), null);
    }
    AcceptorState newState =
        new AcceptorState(ballot, state.accepted(), state.fromStateTransfer(), state.value());
    return new Decision(responseWithValue(VoteResponse.OK, newState), newState);
  }

  /**
   * Accepts the value unless a higher ballot was promised. A repeated accept request gets the same
   * response as the first, even if a higher ballot has been promised since.
   *
   * @param nextBallot the ballot to promise together with accepting the value, so that the same
   *     proposer may skip its next prepare phase; round 0 for none
   */
  static Decision accept(AcceptorState state, Ballot ballot, Ballot nextBallot, byte[] value) {
    if (Ballots.areEqual(ballot, state.accepted())
        && !state.fromStateTransfer()
        && !Ballots.isNone(ballot)) {
      return new Decision(responseWithoutValue(VoteResponse.OK, state), null);
    }
    if (Ballots.compare(ballot, state.promised()) < 0 || Ballots.isNone(ballot)) {
      return new Decision(responseWithoutValue(VoteResponse.BALLOT_TOO_LOW, state), null);
    }
    AcceptorState newState =
        new AcceptorState(Ballots.max(ballot, nextBallot), ballot, false, value);
    return new Decision(responseWithoutValue(VoteResponse.OK, newState), newState);
  }

  /**
   * Responds with the state and doesn't change it.
   *
   * @param knownBallot the response omits the value if this ballot was accepted last; may be null
   * @param ballotOnly whether the response omits the value in any case
   */
  static VoteResponse read(AcceptorState state, Ballot knownBallot, boolean ballotOnly) {
    boolean omitValue =
        ballotOnly
            || !Ballots.isNone(knownBallot) && Ballots.areEqual(knownBallot, state.accepted());
    return omitValue
        ? responseWithoutValue(VoteResponse.OK, state)
        : responseWithValue(VoteResponse.OK, state);
  }

  private static VoteResponse responseWithValue(int code, AcceptorState state) {
    VoteResponse response = responseWithoutValue(code, state);
    response.value = code == VoteResponse.OK ? state.value() : null;
    return response;
  }

  private static VoteResponse responseWithoutValue(int code, AcceptorState state) {
    VoteResponse response = new VoteResponse();
    response.code = code;
    response.promised = state.promised();
    response.accepted = state.accepted();
    response.fromStateTransfer = state.fromStateTransfer();
    return response;
  }
}
