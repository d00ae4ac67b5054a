package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoteResponse;

/**
 * A model of one call that proposes a value under its first ballot and declines under its second,
 * and of a later proposer that commits again whatever it finds. Three voters; every request and
 * response may be lost, late or repeated. {@link Acceptor} decides the votes, and {@link
 * PromiseQuorum} decides whether the decline needs an accept phase.
 *
 * <p>Invariant: once the call was declined on an absent value, its proposal is never committed.
 */
final class DeclinedChangeModel extends ModelChecker {
  private static final int VOTERS = 3;
  private static final int MAJORITY = 2;

  /** The ballots: of the proposal, and in either order of the decline and of the other proposer. */
  private static final int BALLOTS = 3;

  private static final int PROPOSAL = 0;

  /** The fields of a ballot. */
  private static final int PHASE = 0;

  /** The accepted ballot in the promise of each voter, plus one; 0 without a promise. */
  private static final int PROMISED_BY = 1;

  private static final int VALUE = PROMISED_BY + VOTERS;
  private static final int ACCEPTS = VALUE + 1;
  private static final int BALLOT_FIELDS = ACCEPTS + 1;

  private static final int IDLE = 0;
  private static final int PREPARE = 1;
  private static final int ACCEPT = 2;
  private static final int DECLINED = 3;

  private static final int ABSENT = 0;
  private static final int PROPOSED = 1;

  private static final int FIRST_BALLOT = VOTERS * FIELDS;

  private final int decline;
  private final int other;
  private final boolean writesDeclines;

  /**
   * @param declineIsLast whether the ballot of the decline is above the other proposer's
   * @param writesDeclines false: the proposer forgets that it sent an accept request before
   */
  DeclinedChangeModel(boolean declineIsLast, boolean writesDeclines) {
    super(bits());
    this.decline = declineIsLast ? 2 : 1;
    this.other = declineIsLast ? 1 : 2;
    this.writesDeclines = writesDeclines;
  }

  private static int[] bits() {
    int[] bits = new int[FIRST_BALLOT + BALLOTS * BALLOT_FIELDS];
    for (int i = 0; i < bits.length; i++) {
      boolean isBallotField = i >= FIRST_BALLOT;
      int field = isBallotField ? (i - FIRST_BALLOT) % BALLOT_FIELDS : i % FIELDS;
      boolean isWide = isBallotField && field >= PROMISED_BY;
      bits[i] = isWide ? 3 : 2;
    }
    return bits;
  }

  private static int offset(int ballot) {
    return FIRST_BALLOT + ballot * BALLOT_FIELDS;
  }

  @Override
  void visit(int[] state) {
    if (isDeclinedOnAbsence(state) && isProposalCommitted(state)) {
      violation = "the proposal is committed although the change was declined";
      return;
    }
    for (int ballot = 0; ballot < BALLOTS; ballot++) {
      pushSteps(state, ballot);
    }
  }

  private boolean isDeclinedOnAbsence(int[] state) {
    int offset = offset(decline);
    boolean written = state[offset + PHASE] == ACCEPT && isMajority(state[offset + ACCEPTS]);
    return state[offset + VALUE] == ABSENT && (written || state[offset + PHASE] == DECLINED);
  }

  private static boolean isProposalCommitted(int[] state) {
    for (int ballot = 0; ballot < BALLOTS; ballot++) {
      int offset = offset(ballot);
      if (state[offset + VALUE] == PROPOSED && isMajority(state[offset + ACCEPTS])) {
        return true;
      }
    }
    return false;
  }

  private static boolean isMajority(int slots) {
    return Integer.bitCount(slots) >= MAJORITY;
  }

  private void pushSteps(int[] state, int ballot) {
    int phase = state[offset(ballot) + PHASE];
    if (phase == IDLE) {
      if (mayStart(state, ballot)) {
        pushPhase(state, ballot, PREPARE);
      }
      return;
    }
    if (phase == PREPARE && promises(state, ballot) >= MAJORITY) {
      choose(state, ballot);
    }
    for (int voter = 0; voter < VOTERS; voter++) {
      prepare(state, ballot, voter);
      if (phase == ACCEPT) {
        accept(state, ballot, voter);
      }
    }
  }

  /** The call starts its second attempt after the first sent its accept requests. */
  private boolean mayStart(int[] state, int ballot) {
    return ballot != decline || state[offset(PROPOSAL) + PHASE] == ACCEPT;
  }

  private void pushPhase(int[] state, int ballot, int phase) {
    int[] next = state.clone();
    next[offset(ballot) + PHASE] = phase;
    push(next);
  }

  private static int promises(int[] state, int ballot) {
    int promises = 0;
    for (int voter = 0; voter < VOTERS; voter++) {
      promises += state[offset(ballot) + PROMISED_BY + voter] > 0 ? 1 : 0;
    }
    return promises;
  }

  private void choose(int[] state, int ballot) {
    PromiseQuorum quorum = quorum(state, ballot);
    int found = quorum.value() == null ? ABSENT : quorum.value()[0];
    int[] next = state.clone();
    next[offset(ballot) + VALUE] = ballot == PROPOSAL && found == ABSENT ? PROPOSED : found;
    next[offset(ballot) + PHASE] = ACCEPT;
    if (ballot == decline && quorum.isSettledSince(lastSent())) {
      next[offset(ballot) + PHASE] = DECLINED;
    }
    if (ballot == other && found == ABSENT) {
      // Finds nothing to commit again.
      next[offset(ballot) + PHASE] = DECLINED;
    }
    push(next);
  }

  private Ballot lastSent() {
    return ballot(writesDeclines ? PROPOSAL + 1 : 0);
  }

  private static PromiseQuorum quorum(int[] state, int ballot) {
    VoteResponse[] promises = new VoteResponse[VOTERS];
    for (int voter = 0; voter < VOTERS; voter++) {
      int promise = state[offset(ballot) + PROMISED_BY + voter];
      if (promise > 0) {
        int accepted = promise - 1;
        promises[voter] = new VoteResponse();
        promises[voter].accepted = ballot(accepted);
        promises[voter].value =
            accepted == 0 ? null : new byte[] {(byte) state[offset(accepted - 1) + VALUE]};
      }
    }
    return new PromiseQuorum(promises, MAJORITY);
  }

  private void prepare(int[] state, int ballot, int voter) {
    int[] next = state.clone();
    Acceptor.Decision decision = Acceptor.prepare(key(next, voter), ballot(ballot + 1));
    if (decision.newState() != null) {
      putKey(next, voter, decision.newState());
    }
    VoteResponse response = decision.response();
    int promisedBy = offset(ballot) + PROMISED_BY + voter;
    if (response.code == VoteResponse.OK
        && state[offset(ballot) + PHASE] == PREPARE
        && state[promisedBy] == 0) {
      int[] received = next.clone();
      received[promisedBy] = (int) response.accepted.round + 1;
      push(received);
    }
    // The response is lost or late.
    push(next);
  }

  private void accept(int[] state, int ballot, int voter) {
    int[] next = state.clone();
    byte[] value = {(byte) state[offset(ballot) + VALUE]};
    Acceptor.Decision decision =
        Acceptor.accept(key(next, voter), ballot(ballot + 1), new Ballot(), value);
    if (decision.newState() != null) {
      putKey(next, voter, decision.newState());
    }
    if (decision.response().code == VoteResponse.OK) {
      next[offset(ballot) + ACCEPTS] |= 1 << voter;
    }
    push(next);
  }
}
