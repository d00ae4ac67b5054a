package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.VoterSet;

/**
 * All that can happen, in whatever order, with one key of three voter slots (A, B, C), a newcomer N
 * that claims A's voter slot while A may live on, and three ballots of two askers: calls and
 * answers are lost, late and repeated, N may be restarted in the middle. The voters' decisions are
 * the production classes'. The second ballot may be the first's {@code next}. Each ballot's value
 * is what was found with a mark added, so that of two decided values the later holds the earlier.
 */
final class SingleJoinModel extends StateSearch {
  private static final int A = 0;
  private static final int N = 3;
  private static final int BALLOTS = 3;

  private static final int JOIN = 4 * FIELDS;
  private static final int STARTED = JOIN;
  private static final int ACKED = JOIN + 1;
  private static final int COPIED = JOIN + 2;
  private static final int VOTING = JOIN + 3;
  private static final int RESTARTED = JOIN + 4;
  private static final int FORGOT = JOIN + 5;
  private static final int PROPOSERS = JOIN + 6;

  /**
   * Fields of a ballot: phase, voter set, promises, best ballot, best marks, accepts, next
   * promised.
   */
  private static final int PROPOSER_FIELDS = 7;

  private static final int SIZE = PROPOSERS + BALLOTS * PROPOSER_FIELDS;
  private static final int[] BITS = bits();
  private static final String[] NAMES = {"a", "b", "c", "n"};

  /** What is done otherwise than it ought to be. */
  enum Defect {
    NONE,
    AMNESIA,
    ONE_ACKNOWLEDGER,
    COPY_BEFORE_CLAIM,
    PROMISES_NOT_COPIED,
    VOTER_SET_CHANGES_BETWEEN_PHASES,
    PROMISE_OUTLIVES_INCARNATION,
    COPIES_COUNT_AS_VOTES
  }

  private final Defect defect;
  private final int ballots;
  private final boolean promisedAhead;
  private final VoterSet before = new VoterSet();
  private final VoterSet after;

  /**
   * @param sticky the second ballot is promised with the first one's accepts, and has no first
   *     round
   */
  SingleJoinModel(Defect defect, int ballots, boolean sticky) {
    super(BITS);
    this.defect = defect;
    this.ballots = ballots;
    this.promisedAhead = sticky;
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
    joiner(state);
    for (int b = 0; b < ballots; b++) {
      proposer(state, b);
    }
  }

  private ReplicaMembership membership(int[] state, int process) {
    boolean knows = state[process * FIELDS + KNOWN_CLAIMS] == 1;
    int caughtUp = process < N ? 1 : 2 * state[VOTING];
    return new ReplicaMembership(
        NAMES[process], NAMES[process], process + 1, knows ? after : before, caughtUp);
  }

  /**
   * What the replica does with an ask under a voter set: true if it votes; it may have learnt on
   * the way.
   */
  private boolean votes(int[] state, int process, boolean joined) {
    ReplicaMembership membership = membership(state, process);
    VoterSet asked = joined ? after : before;
    if (membership.voteCode(asked) != VoteResponse.STALE_VOTER_SET && membership.learn(asked)) {
      state[process * FIELDS + KNOWN_CLAIMS] = 1;
    }
    return membership.voteCode(asked) == VoteResponse.OK;
  }

  private void joiner(int[] state) {
    if (defect == Defect.AMNESIA) {
      if (state[FORGOT] == 0) {
        int[] next = state.clone();
        next[FORGOT] = 1;
        put(next, A, AcceptorState.EMPTY);
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
    int need = defect == Defect.ONE_ACKNOWLEDGER ? 1 : VoterSets.blockingSize(N);
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
      boolean joined = Integer.bitCount(state[ACKED]) >= need && (state[ACKED] & bit) != 0;
      if (joined || defect == Defect.COPY_BEFORE_CLAIM) {
        int[] next = state.clone();
        AcceptorState theirs = key(state, other);
        if (defect == Defect.PROMISES_NOT_COPIED || defect == Defect.PROMISE_OUTLIVES_INCARNATION) {
          theirs =
              new AcceptorState(
                  theirs.accepted(), theirs.accepted(), theirs.fromStateTransfer(), theirs.value());
        }
        put(next, N, key(state, N).mergeTransferred(theirs));
        next[COPIED] |= bit;
        push(next);
      }
    }
    if (state[VOTING] == 0
        && Integer.bitCount(state[ACKED]) >= need
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
      put(next, N, AcceptorState.EMPTY);
      push(next);
    }
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

  private void proposer(int[] state, int b) {
    int at = PROPOSERS + b * PROPOSER_FIELDS;
    if (state[at] == 0) {
      start(state, b, at);
      return;
    }
    if (state[at] == 1 && Integer.bitCount(state[at + 2]) >= VoterSets.majoritySize(N)) {
      int[] next = state.clone();
      next[at] = 2;
      next[at + 2] = 0;
      next[at + 4] |= 1 << b;
      push(next);
    }
    boolean moves =
        defect == Defect.VOTER_SET_CHANGES_BETWEEN_PHASES
            || defect == Defect.PROMISE_OUTLIVES_INCARNATION;
    if (moves
        && !decided(state, b)
        && state[STARTED] == 1
        && state[at + 1] == 0
        && state[at] == 2) {
      int[] next = state.clone();
      next[at + 1] = 1;
      next[at + 5] &= ~1;
      push(next);
    }
    for (int slot = 0; slot < N; slot++) {
      int holder = slot == A && state[at + 1] == 1 ? N : slot;
      if (!(promisedAhead && b == 1)) {
        prepare(state, b, at, slot, holder);
      }
      if (state[at] == 2) {
        accept(state, b, at, slot, holder);
      }
    }
  }

  private void start(int[] state, int b, int at) {
    if (promisedAhead && b == 1) {
      int first = PROPOSERS;
      if (Integer.bitCount(state[first + 6]) >= VoterSets.majoritySize(N)) {
        int[] next = state.clone();
        next[at] = 2;
        next[at + 1] = state[first + 1];
        next[at + 4] = state[first + 4] | 1 << b;
        push(next);
      }
      return;
    }
    for (int voterSet = 0; voterSet <= state[STARTED]; voterSet++) {
      int[] next = state.clone();
      next[at] = 1;
      next[at + 1] = voterSet;
      push(next);
    }
  }

  private void prepare(int[] state, int b, int at, int slot, int holder) {
    int[] next = state.clone();
    if (votes(next, holder, state[at + 1] == 1)) {
      Acceptor.Decision decision = Acceptor.prepare(key(next, holder), ballot(b + 1));
      if (decision.newState() != null) {
        put(next, holder, decision.newState());
      }
      if (decision.response().code == VoteResponse.OK
          && state[at] == 1
          && (state[at + 2] >> slot & 1) == 0) {
        int[] response = next.clone();
        response[at + 2] |= 1 << slot;
        VoteResponse answer = decision.response();
        if (answer.accepted.round > response[at + 3]) {
          response[at + 3] = (int) answer.accepted.round;
          response[at + 4] = answer.value[0];
        }
        push(response);
      }
    }
    // The answer is lost, or is late.
    push(next);
  }

  private void accept(int[] state, int b, int at, int slot, int holder) {
    int[] next = state.clone();
    if (votes(next, holder, state[at + 1] == 1)) {
      Ballot after1 = promisedAhead && b == 0 ? ballot(2) : new Ballot();
      Acceptor.Decision decision =
          Acceptor.accept(
              key(next, holder), ballot(b + 1), after1, new byte[] {(byte) state[at + 4]});
      if (decision.newState() != null) {
        put(next, holder, decision.newState());
      }
      if (decision.response().code == VoteResponse.OK) {
        next[at + 5] |= 1 << slot;
        if (promisedAhead && b == 0 && decision.response().promised.round == 2) {
          next[at + 6] |= 1 << slot;
        }
      }
    }
    push(next);
  }

  private void checkInvariants(int[] state) {
    int newest = 0;
    for (int b = 0; b < ballots; b++) {
      if (!decided(state, b)) {
        continue;
      }
      newest = b + 1;
      for (int later = b + 1; later < ballots; later++) {
        int marks = state[PROPOSERS + later * PROPOSER_FIELDS + 4];
        if (decided(state, later)
            && (marks & (1 << b + 1) - 1) != state[PROPOSERS + b * PROPOSER_FIELDS + 4]) {
          violation =
              "ballot " + (later + 1) + " was decided without what ballot " + (b + 1) + " decided";
        }
      }
    }
    for (int voterSet = 0; voterSet <= state[STARTED]; voterSet++) {
      for (int without = 0; without < N; without++) {
        read(state, voterSet, without, newest);
      }
    }
  }

  /** A read by two voter slots at once. */
  private void read(int[] state, int voterSet, int without, int newest) {
    int found = -1;
    for (int slot = 0; slot < N; slot++) {
      int holder = slot == A && voterSet == 1 ? N : slot;
      if (slot == without) {
        continue;
      }
      AcceptorState key = key(state, holder);
      boolean counts = !key.fromStateTransfer() || defect == Defect.COPIES_COUNT_AS_VOTES;
      int response = (int) key.accepted().round;
      if (!votes(state.clone(), holder, voterSet == 1)
          || !counts
          || found >= 0 && response != found) {
        return;
      }
      found = response;
    }
    if (found < newest) {
      violation = "a majority tells of ballot " + found + " where " + newest + " is decided";
    } else if (defect != Defect.COPIES_COUNT_AS_VOTES && found > 0 && !decided(state, found - 1)) {
      violation = "a majority tells of ballot " + found + ", which isn't decided";
    }
  }

  private static boolean decided(int[] state, int b) {
    return Integer.bitCount(state[PROPOSERS + b * PROPOSER_FIELDS + 5])
        >= VoterSets.majoritySize(N);
  }
}
