package elmsail.register;

import elmsail.inner.words.Ballot;
import elmsail.inner.words.VoteTold;

/**
 * One voter's decisions at one key, without time, network or disk: what it answers, and what must be on disk
 * before that answer leaves.
 */
final class Acceptor {
  private Acceptor() {
  }

  /** {@code write} null: nothing changes, but what was written before must be safe when this is told. */
  record Decision(VoteTold answer, KeyState write) {
  }

  static Decision prepare(KeyState state, Ballot ballot) {
    int order = Ballots.compare(ballot, state.promised());
    if (order < 0 || Ballots.none(ballot)) {
      return new Decision(told(VoteTold.OUTBID, state), null);
    }
    if (order == 0) {
      return new Decision(told(VoteTold.DONE, state), null);
    }
    KeyState then = new KeyState(ballot, state.accepted(), state.copied(), state.value());
    return new Decision(told(VoteTold.DONE, then), then);
  }

  /** A repeated accept is answered as the first was, also where more has been promised since. */
  static Decision accept(KeyState state, Ballot ballot, Ballot next, byte[] value) {
    if (Ballots.same(ballot, state.accepted()) && !state.copied() && !Ballots.none(ballot)) {
      return new Decision(bare(VoteTold.DONE, state), null);
    }
    if (Ballots.compare(ballot, state.promised()) < 0 || Ballots.none(ballot)) {
      return new Decision(bare(VoteTold.OUTBID, state), null);
    }
    KeyState then = new KeyState(Ballots.higher(ballot, next), ballot, false, value);
    return new Decision(bare(VoteTold.DONE, then), then);
  }

  static VoteTold read(KeyState state, Ballot known, boolean bare) {
    boolean spared = bare || !Ballots.none(known) && Ballots.same(known, state.accepted());
    return spared ? bare(VoteTold.DONE, state) : told(VoteTold.DONE, state);
  }

  private static VoteTold told(int code, KeyState state) {
    VoteTold told = bare(code, state);
    told.value = code == VoteTold.DONE ? state.value() : null;
    return told;
  }

  private static VoteTold bare(int code, KeyState state) {
    VoteTold told = new VoteTold();
    told.code = code;
    told.promised = state.promised();
    told.accepted = state.accepted();
    told.copied = state.copied();
    return told;
  }
}
