package elmsail.consensus;

import elmsail.rpc.messages.Ballot;

/** The order of ballots: by round, then by proposer. A ballot of round 0 means "no ballot". */
final class Ballots {
  private Ballots() {}

  static Ballot of(long round, long proposerId) {
    Ballot ballot = new Ballot();
    ballot.round = round;
    ballot.proposerId = proposerId;
    return ballot;
  }

  static int compare(Ballot one, Ballot other) {
    return one.round != other.round
        ? Long.compare(one.round, other.round)
        : Long.compare(one.proposerId, other.proposerId);
  }

  static boolean areEqual(Ballot one, Ballot other) {
    return one.round == other.round && one.proposerId == other.proposerId;
  }

  /** The higher ballot; the first argument if both are equal. */
  static Ballot max(Ballot one, Ballot other) {
    return compare(one, other) >= 0 ? one : other;
  }

  /** Whether the argument means "no ballot": null or round 0. */
  static boolean isNone(Ballot ballot) {
    return ballot == null || ballot.round == 0;
  }
}
