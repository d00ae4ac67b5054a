package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;

/**
 * All states that are reachable by any order of events with one key of three voter slots (A, B, C),
 * one join, and three ballots of two proposers. The joining process N claims the slot of A while A
 * may still vote, and may be restarted during its join. The second ballot may be promised together
 * with the accepts of the first.
 */
final class SingleJoinModel extends RegisterModel {
  private static final int A = 0;
  private static final int N = 3;
  private static final int BALLOTS = 3;

  private static final int JOIN = 4 * FIELDS;
  private static final int STARTED = JOIN;
  private static final int ACKED = JOIN + 1;
  private static final int COPIED = JOIN + 2;
  private static final int VOTING = JOIN + 3;
  private static final int RESTARTED = JOIN + 4;
  private static final int DISK_LOST = JOIN + 5;
  private static final int PROPOSERS = JOIN + 6;

  /** The slots that promised the next ballot together with an accept. */
  private static final int NEXT_PROMISES = 6;

  private static final int PROPOSER_FIELDS = 7;

  /** The voter sets without the claim of the join, and with the claim. */
  private static final int BEFORE = 0;

  private static final int AFTER = 1;

  private static final int SIZE = PROPOSERS + BALLOTS * PROPOSER_FIELDS;
  private static final int[] BITS = bits();
  private static final String[] NAMES = {"a", "b", "c", "n"};

  /** The defect that the model contains on purpose. */
  enum Defect {
    NONE,
    VOTE_AFTER_DISK_LOSS,
    ONE_ACKNOWLEDGER,
    COPY_BEFORE_CLAIM,
    PROMISES_NOT_COPIED,
    VOTER_SET_CHANGES_BETWEEN_PHASES,
    VOTER_SET_CHANGES_AND_PROMISES_NOT_COPIED,
    COPIES_COUNT_AS_VOTES
  }

  private final Defect defect;
  private final boolean promisedAhead;
  private final VoterSet before = new VoterSet();
  private final VoterSet after;

  /**
   * @param promisedAhead whether the second ballot is promised with the first one's accepts, and
   *     has no prepare phase
   */
  SingleJoinModel(Defect defect, int ballots, boolean promisedAhead) {
    super(BITS, PROPOSERS, PROPOSER_FIELDS, ballots);
    this.defect = defect;
    this.promisedAhead = promisedAhead;
    for (int i = 0; i < N; i++) {
      before.voters.add(voter(NAMES[i], i, 1));
    }
    after = VoterSets.withVoter(before, A, voter(NAMES[N], N, 2));
  }

  private static int[] bits() {
    int[] bits = new int[SIZE];
    for (int i = 0; i < JOIN; i++) {
      bits[i] = new int[] {2, 2, 3, 1, 1}[i % FIELDS];
    }
    System.arraycopy(new int[] {1, 2, 2, 1, 1, 1}, 0, bits, JOIN, 6);
    for (int i = PROPOSERS; i < SIZE; i++) {
      bits[i] = new int[] {2, 1, 3, 2, 3, 3, 3}[(i - PROPOSERS) % PROPOSER_FIELDS];
    }
    return bits;
  }

  @Override
  void visit(int[] state) {
    checkInvariants(state);
    pushJoinSteps(state);
    pushProposerSteps(state);
  }

  private ReplicaMembership membership(int[] state, int process) {
    boolean knows = state[process * FIELDS + KNOWN_CLAIMS] == 1;
    int caughtUp = process < N ? 1 : 2 * state[VOTING];
    return new ReplicaMembership(
        NAMES[process], NAMES[process], process + 1, knows ? after : before, caughtUp);
  }

  @Override
  boolean votes(int[] state, int process, int voterSet) {
    ReplicaMembership membership = membership(state, process);
    VoterSet requested = voterSet == AFTER ? after : before;
    if (membership.voteCode(requested) != VoteResponse.STALE_VOTER_SET
        && membership.learn(requested)) {
      state[process * FIELDS + KNOWN_CLAIMS] = 1;
    }
    return membership.voteCode(requested) == VoteResponse.OK;
  }

  private void pushJoinSteps(int[] state) {
    if (defect == Defect.VOTE_AFTER_DISK_LOSS) {
      if (state[DISK_LOST] == 0) {
        int[] next = state.clone();
        next[DISK_LOST] = 1;
        putKey(next, A, AcceptorState.EMPTY);
        push(next);
      }
      return;
    }
    if (state[STARTED] == 0) {
      int[] next = state.clone();
      next[STARTED] = 1;
      next[N * FIELDS + KNOWN_CLAIMS] = 1;
      push(next);
      return;
    }
    int required = defect == Defect.ONE_ACKNOWLEDGER ? 1 : VoterSets.blockingSize(N);
    for (int other = 0; other < N; other++) {
      if (state[other * FIELDS + KNOWN_CLAIMS] == 0) {
        int[] next = state.clone();
        next[other * FIELDS + KNOWN_CLAIMS] = 1;
        push(next);
      }
      if (other == A || state[VOTING] == 1) {
        continue;
      }
      int bit = 1 << other - 1;
      acknowledge(state, other, bit);
      boolean joined = Integer.bitCount(state[ACKED]) >= required && (state[ACKED] & bit) != 0;
      if (joined || defect == Defect.COPY_BEFORE_CLAIM) {
        transferState(state, other, bit);
      }
    }
    if (state[VOTING] == 0
        && Integer.bitCount(state[ACKED]) >= required
        && (state[COPIED] & state[ACKED]) == state[ACKED]) {
      int[] next = state.clone();
      next[VOTING] = 1;
      next[ACKED] = 0;
      next[COPIED] = 0;
      push(next);
    }
    if (state[VOTING] == 0 && state[RESTARTED] == 0) {
      int[] next = state.clone();
      next[RESTARTED] = 1;
      next[ACKED] = 0;
      next[COPIED] = 0;
      putKey(next, N, AcceptorState.EMPTY);
      push(next);
    }
  }

  private void transferState(int[] state, int other, int bit) {
    int[] next = state.clone();
    AcceptorState theirs = key(state, other);
    if (defect == Defect.PROMISES_NOT_COPIED
        || defect == Defect.VOTER_SET_CHANGES_AND_PROMISES_NOT_COPIED) {
      theirs =
          new AcceptorState(
              theirs.accepted(), theirs.accepted(), theirs.fromStateTransfer(), theirs.value());
    }
    putKey(next, N, key(state, N).mergeTransferred(theirs));
    next[COPIED] |= bit;
    push(next);
  }

  private void acknowledge(int[] state, int other, int bit) {
    JoinRequest request = new JoinRequest();
    request.slot = A;
    request.voter = after.voters.get(A);
    if ((state[ACKED] & bit) == 0
        && membership(state, other).recordClaim(request)
            != ReplicaMembership.ClaimDecision.REFUSED) {
      int[] next = state.clone();
      next[other * FIELDS + KNOWN_CLAIMS] = 1;
      next[ACKED] |= bit;
      push(next);
    }
  }

  @Override
  int holder(int slot, int voterSet) {
    return slot == A && voterSet == AFTER ? N : slot;
  }

  @Override
  boolean mayBeProposed(int[] state, int voterSet) {
    return voterSet <= state[STARTED];
  }

  @Override
  int readVoterSets(int[] state) {
    return state[STARTED] + 1;
  }

  @Override
  boolean hasPreparePhase(int ballot) {
    return !(promisedAhead && ballot == 1);
  }

  /** A ballot that was promised ahead starts with its accept phase. */
  @Override
  void start(int[] state, int ballot) {
    if (hasPreparePhase(ballot)) {
      super.start(state, ballot);
      return;
    }
    int first = proposer(0);
    if (isMajority(state[first + NEXT_PROMISES])) {
      int[] next = state.clone();
      next[proposer(ballot) + PHASE] = ACCEPT_PHASE;
      next[proposer(ballot) + VOTER_SET] = state[first + VOTER_SET];
      next[proposer(ballot) + MARKS] = state[first + MARKS] | 1 << ballot;
      push(next);
    }
  }

  /** With some defects a proposer switches to the newer voter set in its accept phase. */
  @Override
  void pushOtherProposerSteps(int[] state, int ballot) {
    int offset = proposer(ballot);
    boolean changes =
        defect == Defect.VOTER_SET_CHANGES_BETWEEN_PHASES
            || defect == Defect.VOTER_SET_CHANGES_AND_PROMISES_NOT_COPIED;
    if (changes
        && !isCommitted(state, ballot)
        && state[STARTED] == 1
        && state[offset + VOTER_SET] == BEFORE
        && state[offset + PHASE] == ACCEPT_PHASE) {
      int[] next = state.clone();
      next[offset + VOTER_SET] = AFTER;
      next[offset + ACCEPTS] &= ~1;
      push(next);
    }
  }

  @Override
  Ballot nextBallot(int ballot) {
    return promisedAhead && ballot == 0 ? ballot(2) : new Ballot();
  }

  @Override
  void onAccepted(int[] state, int ballot, int slot, VoteResponse response) {
    if (promisedAhead && ballot == 0 && response.promised.round == 2) {
      state[proposer(ballot) + NEXT_PROMISES] |= 1 << slot;
    }
  }

  @Override
  boolean isVote(AcceptorState key) {
    return super.isVote(key) || defect == Defect.COPIES_COUNT_AS_VOTES;
  }

  @Override
  boolean readsUncommitted() {
    return defect == Defect.COPIES_COUNT_AS_VOTES;
  }
}
