package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.VoteResponse;

/**
 * The common part of the models of a register: a key with three voter slots, ballots 1, 2, ... of
 * one proposer each, and reads of any two slots. Every request and response may be lost, late or
 * repeated. The production classes decide the votes.
 *
 * <p>The value of a ballot is a set of marks, one bit for each ballot: the marks that its prepare
 * phase found, and its own mark. So of two committed values the later one must contain the earlier.
 */
abstract class RegisterModel extends ModelChecker {
  static final int VOTERS = 3;

  /** The fields of a proposer; a model may append more fields. */
  static final int PHASE = 0;

  static final int VOTER_SET = 1;
  static final int PROMISES = 2;
  static final int HIGHEST_ACCEPTED = 3;
  static final int MARKS = 4;
  static final int ACCEPTS = 5;

  /** The phases of a proposer; the first phase is {@code IDLE}. */
  private static final int IDLE = 0;

  private static final int PREPARE_PHASE = 1;
  static final int ACCEPT_PHASE = 2;

  final int ballots;
  private final int firstProposer;
  private final int proposerFields;

  /**
   * @param firstProposer the index of the first proposer's first field
   * @param proposerFields the number of fields of each proposer
   */
  RegisterModel(int[] bits, int firstProposer, int proposerFields, int ballots) {
    super(bits);
    this.firstProposer = firstProposer;
    this.proposerFields = proposerFields;
    this.ballots = ballots;
  }

  /** The process that holds a slot under a voter set. The model numbers the voter sets. */
  abstract int holder(int slot, int voterSet);

  /** Whether a process votes on a request with a voter set, which it learns if newer. */
  abstract boolean votes(int[] state, int process, int voterSet);

  /** Whether a proposer may use the voter set. */
  abstract boolean mayBeProposed(int[] state, int voterSet);

  /** The number of voter sets under which reads are checked. */
  abstract int readVoterSets(int[] state);

  /** Whether the ballot has a prepare phase. */
  boolean hasPreparePhase(int ballot) {
    return true;
  }

  /** The ballot to promise together with accepting this ballot; round 0 for none. */
  Ballot nextBallot(int ballot) {
    return new Ballot();
  }

  /** Called after a voter accepted the ballot. */
  void onAccepted(int[] state, int ballot, int slot, VoteResponse response) {}

  /** Pushes the states after other steps that a model allows between a proposer's phases. */
  void pushOtherProposerSteps(int[] state, int ballot) {}

  /** Whether a read counts the state of a key as a vote. */
  boolean isVote(AcceptorState key) {
    return !key.fromStateTransfer();
  }

  /** Whether a read may return a value that is not committed. */
  boolean readsUncommitted() {
    return false;
  }

  /** The index of a proposer's first field. */
  final int proposer(int ballot) {
    return firstProposer + ballot * proposerFields;
  }

  final boolean isCommitted(int[] state, int ballot) {
    return isMajority(state[proposer(ballot) + ACCEPTS]);
  }

  static boolean isMajority(int slots) {
    return Integer.bitCount(slots) >= VoterSets.majoritySize(VOTERS);
  }

  /** Pushes all states that may follow by one step of a proposer. */
  final void pushProposerSteps(int[] state) {
    for (int ballot = 0; ballot < ballots; ballot++) {
      pushProposerSteps(state, ballot);
    }
  }

  private void pushProposerSteps(int[] state, int ballot) {
    int offset = proposer(ballot);
    if (state[offset + PHASE] == IDLE) {
      start(state, ballot);
      return;
    }
    if (state[offset + PHASE] == PREPARE_PHASE && isMajority(state[offset + PROMISES])) {
      int[] next = state.clone();
      next[offset + PHASE] = ACCEPT_PHASE;
      next[offset + PROMISES] = 0;
      next[offset + MARKS] |= 1 << ballot;
      push(next);
    }
    pushOtherProposerSteps(state, ballot);
    for (int slot = 0; slot < VOTERS; slot++) {
      if (hasPreparePhase(ballot)) {
        prepare(state, ballot, slot);
      }
      if (state[offset + PHASE] == ACCEPT_PHASE) {
        accept(state, ballot, slot);
      }
    }
  }

  /** Starts a ballot under each voter set that a proposer may use. */
  void start(int[] state, int ballot) {
    for (int voterSet = 0; voterSet < 4; voterSet++) {
      if (mayBeProposed(state, voterSet)) {
        int[] next = state.clone();
        next[proposer(ballot) + PHASE] = PREPARE_PHASE;
        next[proposer(ballot) + VOTER_SET] = voterSet;
        push(next);
      }
    }
  }

  private void prepare(int[] state, int ballot, int slot) {
    int offset = proposer(ballot);
    int[] next = state.clone();
    int process = holder(slot, state[offset + VOTER_SET]);
    if (votes(next, process, state[offset + VOTER_SET])) {
      Acceptor.Decision decision = Acceptor.prepare(key(next, process), ballot(ballot + 1));
      if (decision.newState() != null) {
        putKey(next, process, decision.newState());
      }
      VoteResponse response = decision.response();
      if (response.code == VoteResponse.OK
          && state[offset + PHASE] == PREPARE_PHASE
          && (state[offset + PROMISES] >> slot & 1) == 0) {
        int[] received = next.clone();
        received[offset + PROMISES] |= 1 << slot;
        if (response.accepted.round > received[offset + HIGHEST_ACCEPTED]) {
          received[offset + HIGHEST_ACCEPTED] = (int) response.accepted.round;
          received[offset + MARKS] = response.value[0];
        }
        push(received);
      }
    }
    // The response is lost or late.
    push(next);
  }

  private void accept(int[] state, int ballot, int slot) {
    int offset = proposer(ballot);
    int[] next = state.clone();
    int process = holder(slot, state[offset + VOTER_SET]);
    if (votes(next, process, state[offset + VOTER_SET])) {
      byte[] value = {(byte) state[offset + MARKS]};
      Acceptor.Decision decision =
          Acceptor.accept(key(next, process), ballot(ballot + 1), nextBallot(ballot), value);
      if (decision.newState() != null) {
        putKey(next, process, decision.newState());
      }
      if (decision.response().code == VoteResponse.OK) {
        next[offset + ACCEPTS] |= 1 << slot;
        onAccepted(next, ballot, slot, decision.response());
      }
    }
    push(next);
  }

  /** Checks that later commits contain earlier ones, and that reads return the newest commit. */
  final void checkInvariants(int[] state) {
    int newest = 0;
    for (int ballot = 0; ballot < ballots; ballot++) {
      if (isCommitted(state, ballot)) {
        newest = ballot + 1;
        checkLaterBallots(state, ballot);
      }
    }
    for (int voterSet = 0; voterSet < readVoterSets(state); voterSet++) {
      for (int excludedSlot = 0; excludedSlot < VOTERS; excludedSlot++) {
        checkRead(state, voterSet, excludedSlot, newest);
      }
    }
  }

  private void checkLaterBallots(int[] state, int ballot) {
    for (int later = ballot + 1; later < ballots; later++) {
      int marks = state[proposer(later) + MARKS];
      if (isCommitted(state, later)
          && (marks & (1 << ballot + 1) - 1) != state[proposer(ballot) + MARKS]) {
        violation =
            "ballot "
                + (later + 1)
                + " was committed without the marks of ballot "
                + (ballot + 1)
                + ", which was committed before";
      }
    }
  }

  /** Checks a read of the two voter slots other than the excluded one. */
  private void checkRead(int[] state, int voterSet, int excludedSlot, int newest) {
    int found = -1;
    for (int slot = 0; slot < VOTERS; slot++) {
      if (slot == excludedSlot) {
        continue;
      }
      int process = holder(slot, voterSet);
      AcceptorState key = key(state, process);
      int accepted = (int) key.accepted().round;
      if (!votes(state.clone(), process, voterSet)
          || !isVote(key)
          || found >= 0 && accepted != found) {
        return;
      }
      found = accepted;
    }
    if (found < newest) {
      violation = "a majority responds with ballot " + found + " where " + newest + " is committed";
    } else if (!readsUncommitted() && found > 0 && !isCommitted(state, found - 1)) {
      violation = "a majority responds with ballot " + found + ", which isn't committed";
    }
  }
}
