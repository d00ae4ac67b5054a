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
  record Decision(VoteResponse answer, KeyState write) {}

  static Decision prepare(KeyState state, Ballot ballot) {
    int order = Ballots.compare(ballot, state.promised());
    if (order < 0 || Ballots.none(ballot)) {
      return new Decision(response(VoteResponse.BALLOT_TOO_LOW, state), null);
    }
    if (order == 0) {
      return new Decision(response(VoteResponse.OK, state), null);
    }
    KeyState then = new KeyState(ballot, state.accepted(), state.copied(), state.value());
    return new Decision(response(VoteResponse.OK, then), then);
  }

  /** A repeated accept is answered as the first was, also where more has been promised since. */
  static Decision accept(KeyState state, Ballot ballot, Ballot next, byte[] value) {
    if (Ballots.same(ballot, state.accepted()) && !state.copied() && !Ballots.none(ballot)) {
      return new Decision(bare(VoteResponse.OK, state), null);
    }
    if (Ballots.compare(ballot, state.promised()) < 0 || Ballots.none(ballot)) {
      return new Decision(bare(VoteResponse.BALLOT_TOO_LOW, state), null);
    }
    KeyState then = new KeyState(Ballots.higher(ballot, next), ballot, false, value);
    return new Decision(bare(VoteResponse.OK, then), then);
  }

  static VoteResponse read(KeyState state, Ballot known, boolean bare) {
    boolean spared = bare || !Ballots.none(known) && Ballots.same(known, state.accepted());
    return spared ? bare(VoteResponse.OK, state) : response(VoteResponse.OK, state);
  }

  private static VoteResponse response(int code, KeyState state) {
    VoteResponse response = bare(code, state);
    response.value = code == VoteResponse.OK ? state.value() : null;
    return response;
  }

  private static VoteResponse bare(int code, KeyState state) {
    VoteResponse response = new VoteResponse();
    response.code = code;
    response.promised = state.promised();
    response.accepted = state.accepted();
    response.fromStateTransfer = state.copied();
    return response;
  }
}
