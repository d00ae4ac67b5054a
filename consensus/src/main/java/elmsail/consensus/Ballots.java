package elmsail.consensus;

import elmsail.rpc.messages.Ballot;

/** Ballots in their order: by round, then by who tries; round 0 is none. */
final class Ballots {
  private Ballots() {}

  static Ballot of(long round, long who) {
    Ballot ballot = new Ballot();
    ballot.round = round;
    ballot.proposerId = who;
    return ballot;
  }

  static int compare(Ballot one, Ballot other) {
    return one.round != other.round
        ? Long.compare(one.round, other.round)
        : Long.compare(one.proposerId, other.proposerId);
  }

  static boolean same(Ballot one, Ballot other) {
    return one.round == other.round && one.proposerId == other.proposerId;
  }

  static Ballot higher(Ballot one, Ballot other) {
    return compare(one, other) >= 0 ? one : other;
  }

  static boolean none(Ballot ballot) {
    return ballot == null || ballot.round == 0;
  }
}
