package elmsail.consensus;

import elmsail.rpc.messages.Ballot;

/** Ballots in their order: by round, then by who tries; round 0 is none. */
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

  static Ballot max(Ballot one, Ballot other) {
    return compare(one, other) >= 0 ? one : other;
  }

  static boolean isNone(Ballot ballot) {
    return ballot == null || ballot.round == 0;
  }
}
