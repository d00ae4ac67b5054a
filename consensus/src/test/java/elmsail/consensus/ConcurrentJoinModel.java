package elmsail.consensus;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.List;

/**
 * All states that are reachable by any order of events with one key of three voter slots (A, B, C)
 * and two concurrent joins: S claims the slot of A, and X claims the slot of C. A and C may still
 * vote, or send no response any more from any moment on, which models the loss of their disks. The
 * production classes decide on claims and sources.
 */
final class ConcurrentJoinModel extends RegisterModel {
  private static final int S = 3;
  private static final int X = 4;
  private static final int PROCESSES = 5;

  private static final int JOINS = PROCESSES * FIELDS;
  private static final int STARTED = 0;
  private static final int VOTING = 1;

  /** Whether the joining process knew the other claim when it sent its own. */
  private static final int SENT_KNOWING_OTHER = 2;

  /** 1: B acknowledged; 2: B acknowledged and knew the other claim. */
  private static final int RESPONSE_OF_B = 3;

  /** 1: the other slot's holder acknowledged; 2: it doesn't vote, and recorded the claim. */
  private static final int RESPONSE_OF_OTHER = 4;

  /**
   * 1: the predecessor in the other slot acknowledged; 2: it is replaced, and recorded the claim.
   */
  private static final int RESPONSE_OF_PREDECESSOR = 5;

  private static final int COPIED_B = 6;
  private static final int COPIED_OTHER = 7;
  private static final int RESTARTED = 8;
  private static final int JOIN_FIELDS = 9;
  private static final int PROPOSERS = JOINS + 2 * JOIN_FIELDS;

  private static final int PROPOSER_FIELDS = 6;

  private static final int BALLOTS = 2;
  private static final int SIZE = PROPOSERS + BALLOTS * PROPOSER_FIELDS;
  private static final int[] BITS = new int[SIZE];
  private static final String[] NAMES = {"a", "b", "c", "s", "x"};

  /** The defect that the model contains on purpose. */
  enum Defect {
    NONE,
    SUCCESSOR_NOT_QUERIED,
    SUCCESSOR_RECORDS_NOTHING,
    RECORDS_DROPPED,
    REPLACED_NOT_QUERIED,
    STALE_SOURCE,
    COPY_UNDER_STALE_VOTER_SET
  }

  static {
    for (int i = 0; i < JOINS; i++) {
      BITS[i] = new int[] {2, 2, 2, 1, 2}[i % FIELDS];
    }
    for (int i = JOINS; i < PROPOSERS; i++) {
      BITS[i] = new int[] {1, 1, 1, 2, 2, 2, 1, 1, 1}[(i - JOINS) % JOIN_FIELDS];
    }
    for (int i = PROPOSERS; i < SIZE; i++) {
      BITS[i] = new int[] {2, 2, 3, 2, 2, 3}[(i - PROPOSERS) % PROPOSER_FIELDS];
    }
  }

  private final Defect defect;
  private final boolean restarts;
  private final VoterSet[] voterSets = new VoterSet[4];

  /**
   * @param restarts whether each joining process may be restarted once during its join
   */
  ConcurrentJoinModel(Defect defect, int ballots, boolean restarts) {
    super(BITS, PROPOSERS, PROPOSER_FIELDS, ballots);
    this.defect = defect;
    this.restarts = restarts;
    VoterSet initial = new VoterSet();
    for (int i = 0; i < VOTERS; i++) {
      initial.voters.add(voter(NAMES[i], i, 1));
    }
    for (int known = 0; known < 4; known++) {
      voterSets[known] = initial;
      for (int join = S; join <= X; join++) {
        if ((known & bit(join)) != 0) {
          Voter holder = voter(NAMES[join], join, 2);
          Voter predecessor = initial.voters.get(slotOf(join));
          holder.previousAddress = predecessor.address;
          holder.previousInstanceId = predecessor.instanceId;
          holder.previousEpoch = predecessor.epoch;
          voterSets[known] = VoterSets.withVoter(voterSets[known], slotOf(join), holder);
        }
      }
    }
  }

  @Override
  void visit(int[] state) {
    checkInvariants(state);
    pushJoinSteps(state, S);
    pushJoinSteps(state, X);
    pushProposerSteps(state);
  }

  private static int bit(int join) {
    return 1 << join - S;
  }

  private static int slotOf(int join) {
    return join == S ? 0 : 2;
  }

  @Override
  int holder(int slot, int known) {
    return slot == 0 && (known & 1) != 0 ? S : slot == 2 && (known & 2) != 0 ? X : slot;
  }

  private static int joinOffset(int join) {
    return JOINS + (join - S) * JOIN_FIELDS;
  }

  /** The claims that a process knows, as a sum: 1 for the claim of S, 2 for the claim of X. */
  private static int knownClaims(int[] state, int process) {
    return state[process * FIELDS + KNOWN_CLAIMS];
  }

  private void learn(int[] state, int process, int known) {
    state[process * FIELDS + KNOWN_CLAIMS] |= known;
    boolean replaced = process == 0 && (known & 1) != 0 || process == 2 && (known & 2) != 0;
    if (replaced && defect == Defect.RECORDS_DROPPED) {
      putKey(state, process, AcceptorState.EMPTY);
    }
  }

  private static int known(VoterSet voterSet) {
    return (voterSet.voters.get(0).instanceId == S + 1 ? 1 : 0)
        | (voterSet.voters.get(2).instanceId == X + 1 ? 2 : 0);
  }

  private ReplicaMembership membership(int[] state, int process) {
    int caughtUp = process < S ? 1 : 2 * state[joinOffset(process) + VOTING];
    return new ReplicaMembership(
        NAMES[process],
        NAMES[process],
        process + 1,
        voterSets[knownClaims(state, process)],
        caughtUp);
  }

  private static boolean isAbsent(int[] state, int process) {
    return process >= S && state[joinOffset(process) + STARTED] == 0;
  }

  /** The code of a vote on a request with a voter set, which the voter learns if it is newer. */
  private int vote(int[] state, int process, int requested) {
    ReplicaMembership membership = membership(state, process);
    if (membership.voteCode(voterSets[requested]) != VoteResponse.STALE_VOTER_SET
        && membership.learn(voterSets[requested])) {
      learn(state, process, requested);
    }
    return membership.voteCode(voterSets[requested]);
  }

  @Override
  boolean votes(int[] state, int process, int requested) {
    return !isAbsent(state, process) && vote(state, process, requested) == VoteResponse.OK;
  }

  private void pushJoinSteps(int[] state, int join) {
    int offset = joinOffset(join);
    if (state[offset + STARTED] == 0) {
      int other = join == S ? X : S;
      for (int knowing = 0; knowing <= state[joinOffset(other) + STARTED]; knowing++) {
        int[] next = state.clone();
        next[offset + STARTED] = 1;
        next[offset + SENT_KNOWING_OTHER] = knowing;
        learn(next, join, bit(join) | knowing * bit(other));
        push(next);
      }
      return;
    }
    if (state[offset + VOTING] == 1) {
      return;
    }
    JoinQuorum quorum = quorum(state, join);
    List<Voter> sources = quorum.sources();
    if (sources == null) {
      for (int field = RESPONSE_OF_B; field <= RESPONSE_OF_PREDECESSOR; field++) {
        request(state, join, field);
      }
    } else {
      for (Voter source : sources) {
        copy(
            state,
            join,
            (int) source.instanceId - 1,
            source == quorum.replacedSource(),
            knownClaims(state, join));
        if (defect == Defect.COPY_UNDER_STALE_VOTER_SET) {
          copy(
              state,
              join,
              (int) source.instanceId - 1,
              source == quorum.replacedSource(),
              bit(join));
        }
      }
      if (state[offset + COPIED_B] == 1 && state[offset + COPIED_OTHER] == 1) {
        int[] next = state.clone();
        clearAttempt(next, offset);
        next[offset + VOTING] = 1;
        push(next);
      }
    }
    if (restarts && state[offset + RESTARTED] == 0) {
      int[] next = state.clone();
      clearAttempt(next, offset);
      next[offset + RESTARTED] = 1;
      next[offset + SENT_KNOWING_OTHER] = (knownClaims(state, join) & ~bit(join)) == 0 ? 0 : 1;
      putKey(next, join, AcceptorState.EMPTY);
      push(next);
    }
  }

  private static void clearAttempt(int[] next, int offset) {
    for (int field = SENT_KNOWING_OTHER; field <= COPIED_OTHER; field++) {
      next[offset + field] = 0;
    }
  }

  /**
   * The process to which a claim is sent: B, the holder of the other claimed slot, or that holder's
   * predecessor.
   */
  private static int recipient(int[] state, int join, int field) {
    int other = join == S ? X : S;
    if (field == RESPONSE_OF_B) {
      return 1;
    }
    return field == RESPONSE_OF_OTHER && state[joinOffset(join) + SENT_KNOWING_OTHER] == 1
        ? other
        : slotOf(other);
  }

  private JoinQuorum quorum(int[] state, int join) {
    int offset = joinOffset(join);
    int other = join == S ? X : S;
    int all = bit(join) | bit(other);
    int known = bit(join) | state[offset + SENT_KNOWING_OTHER] * bit(other);
    JoinQuorum quorum = new JoinQuorum(voterSets[known], slotOf(join), join + 1);
    if (state[offset + RESPONSE_OF_B] != 0) {
      quorum.onHolderResponse(
          1, response(1, true, state[offset + RESPONSE_OF_B] == 2 ? all : bit(join)));
    }
    if (state[offset + RESPONSE_OF_OTHER] != 0) {
      quorum.onHolderResponse(
          slotOf(other),
          response(
              recipient(state, join, RESPONSE_OF_OTHER),
              state[offset + RESPONSE_OF_OTHER] == 1,
              known));
    } else if (defect == Defect.SUCCESSOR_NOT_QUERIED && state[offset + SENT_KNOWING_OTHER] == 1) {
      quorum.onHolderResponse(slotOf(other), response(other, false, known));
    }
    int predecessor = slotOf(other);
    if (state[offset + RESPONSE_OF_PREDECESSOR] != 0) {
      quorum.onPredecessorResponse(
          predecessor,
          response(
              predecessor,
              state[offset + RESPONSE_OF_PREDECESSOR] == 1,
              state[offset + RESPONSE_OF_PREDECESSOR] == 1 ? bit(join) : all));
    }
    return quorum;
  }

  private JoinResponse response(int responder, boolean accepted, int known) {
    JoinResponse response = new JoinResponse();
    response.instanceId = responder + 1L;
    response.accepted = accepted;
    response.recorded = !accepted;
    response.replaced = !accepted && responder < S;
    response.voterSet = voterSets[known];
    return response;
  }

  private void request(int[] state, int join, int field) {
    int offset = joinOffset(join);
    int process = recipient(state, join, field);
    if (state[offset + field] != 0
        || field == RESPONSE_OF_PREDECESSOR && state[offset + SENT_KNOWING_OTHER] == 0
        || isAbsent(state, process)) {
      return;
    }
    JoinRequest request = new JoinRequest();
    request.slot = slotOf(join);
    request.voter = voterSets[bit(join)].voters.get(request.slot);
    ReplicaMembership membership = membership(state, process);
    JoinResponse response = membership.respond(request);
    int[] next = state.clone();
    if (!(defect == Defect.SUCCESSOR_RECORDS_NOTHING && response.recorded && !response.replaced)) {
      learn(next, process, known(membership.voterSet()));
    }
    push(next.clone());
    learn(next, join, known(membership.voterSet()));
    if (response.accepted && field == RESPONSE_OF_B) {
      next[offset + field] = known(membership.voterSet()) == 3 ? 2 : 1;
    } else if (response.accepted) {
      next[offset + field] = 1;
    } else if (field == RESPONSE_OF_PREDECESSOR
        ? response.recorded && response.replaced
        : response.recorded && !response.replaced) {
      next[offset + field] = 2;
    }
    push(next);
  }

  private void copy(int[] state, int join, int process, boolean allowReplaced, int voterSet) {
    int[] next = state.clone();
    int code = vote(next, process, voterSet);
    if (membership(next, process)
        .servesTransfer(code, allowReplaced || defect == Defect.STALE_SOURCE)) {
      putKey(next, join, key(next, join).mergeTransferred(key(next, process)));
      next[joinOffset(join) + (process == 1 ? COPIED_B : COPIED_OTHER)] = 1;
    }
    if (defect == Defect.REPLACED_NOT_QUERIED && process < S && process != 1) {
      next[joinOffset(join) + COPIED_OTHER] = 1;
    }
    push(next);
  }

  @Override
  boolean mayBeProposed(int[] state, int voterSet) {
    return (voterSet & ~(state[joinOffset(S) + STARTED] | 2 * state[joinOffset(X) + STARTED])) == 0;
  }

  @Override
  int readVoterSets(int[] state) {
    return voterSets.length;
  }
}
