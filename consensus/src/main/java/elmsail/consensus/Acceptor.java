package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoteResponse;

/**
 * One voter's decisions at one key, without time, network or disk: what it answers, and what must
 * be on disk before that answer leaves.
 */
final class Acceptor {
  private Acceptor() {}

  /**
   * {@code write} null: nothing changes, but what was written before must be safe when this is
   * told.
   */
  record Decision(VoteResponse response, AcceptorState newState) {}

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

  /** A repeated accept is answered as the first was, also where more has been promised since. */
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
